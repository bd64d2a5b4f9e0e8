Feature: A request runs only for the workspace of its key

  Scenario: A caller with a key is served, and the backend server does not receive the key
    When a caller with the key "demo-secret-of-school-17" requests "/catalogue/devices/1" from "host-1"
    Then the response has status 200
    And the backend server received no key

  Scenario Outline: A request without a valid key is refused and not run
    When a caller with the key "<key>" requests "/catalogue/devices/1" from "host-1"
    Then the response has status 401
    And the response has result code <code> and execution "not run"

    Examples:
      | key   | code |
      | none  | 101  |
      | wrong | 102  |

  Scenario: An open route requires no key
    When a caller with the key "none" requests "/catalogue/public/images" from "host-2"
    Then the response has status 200
