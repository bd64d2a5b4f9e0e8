Feature: A caller gets the whole answer to its own request, or a true refusal

  Scenario Outline: A route that leads elsewhere than it seems is refused
    When a caller with the key "none" asks "host-1" for "<path>"
    Then the answer has status 400
    And the answer carries result code 112 and says "not run"

    Examples:
      | path                                     |
      | /catalogue/public/%2e%2e/devices/1       |
      | /catalogue/public/..%2fdevices/1         |
      | /catalogue/public/%252e%252e/devices/1   |
      | /catalogue/public/..;/devices/1          |

  Scenario: A request that no backend server has seen by its deadline did not run
    When a caller allows 0 ms and asks "host-1" for "/catalogue/public/images"
    Then the answer has status 504
    And the answer carries result code 120 and says "not run"

  Scenario: A request that a backend server had at its deadline may have run
    When a caller allows 200 ms and asks "host-1" for "/catalogue/public/images?delay_ms=5000"
    Then the answer has status 504
    And the answer carries result code 110 and says "may have run"

  Scenario: An answer that breaks off is not passed off as whole
    When a caller with the key "demo-secret-of-school-17" asks "host-2" for "/catalogue/public/images?answer_bytes=500000&cut_at=300000"
    Then the answer is visibly cut

  Scenario: A request shed by all backend servers did not run
    When a caller with the key "none" asks "host-3" for "/catalogue/public/images?shed=1"
    Then the answer has status 503
    And the answer carries result code 108 and says "not run"

  Scenario: A caller asks which hosts to use
    When a caller with the key "none" asks "host-1" for "/v1/lookup"
    Then the answer has status 200
    And the answer names "host-1"
