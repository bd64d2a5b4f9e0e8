Feature: A request runs only for the workspace whose key it carried

  Scenario: A caller with a key is served and the backend server does not see the key
    When a caller with the key "demo-secret-of-school-17" asks "host-1" for "/catalogue/devices/1"
    Then the answer has status 200
    And the backend server saw no key

  Scenario Outline: A caller without a valid key is refused before anything runs
    When a caller with the key "<key>" asks "host-1" for "/catalogue/devices/1"
    Then the answer has status 401
    And the answer carries result code <code> and says "not run"

    Examples:
      | key   | code |
      | none  | 101  |
      | wrong | 102  |

  Scenario: An open route needs no key
    When a caller with the key "none" asks "host-2" for "/catalogue/public/images"
    Then the answer has status 200
