Feature: A caller gets the complete response to its own request, or an accurate refusal

  Scenario Outline: A path that could resolve to another route is refused
    When a caller with the key "none" requests "<path>" from "host-1"
    Then the response has status 400
    And the response has result code 112 and execution "not run"

    Examples:
      | path                                     |
      | /catalogue/public/%2e%2e/devices/1       |
      | /catalogue/public/..%2fdevices/1         |
      | /catalogue/public/%252e%252e/devices/1   |
      | /catalogue/public/..;/devices/1          |

  Scenario: A request that reaches no backend server before its deadline did not run
    When a caller allows 0 ms and requests "/catalogue/public/images" from "host-1"
    Then the response has status 504
    And the response has result code 120 and execution "not run"

  Scenario: A request that a backend server has received before its deadline may have run
    When a caller allows 200 ms and requests "/catalogue/public/images?delay_ms=5000" from "host-1"
    Then the response has status 504
    And the response has result code 110 and execution "may have run"

  Scenario: A truncated response does not appear complete
    When a caller with the key "demo-secret-of-school-17" requests "/catalogue/public/images?answer_bytes=500000&cut_at=300000" from "host-2"
    Then the caller detects a truncated response

  Scenario: A request shed by all backend servers did not run
    When a caller with the key "none" requests "/catalogue/public/images?shed=1" from "host-3"
    Then the response has status 503
    And the response has result code 108 and execution "not run"

  Scenario: A caller looks up which hosts to use
    When a caller with the key "none" requests "/v1/lookup" from "host-1"
    Then the response has status 200
    And the response lists "host-1"
