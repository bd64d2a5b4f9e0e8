Feature: Operators change a running fleet, and nobody's change is lost

  Scenario: A key that leaked stops working on every host
    Given the operator has issued a key for "school-17"
    And every host serves a caller with that key
    When the operator withdraws the key
    Then the command ends with exit code 0
    And every host refuses that key with result code 103

  Scenario: A file with faults changes nothing, and every fault is named
    Given a file with these records:
      """
      [
        {"kind": "workspace", "name": "school-18"},
        {"kind": "rate", "name": "school-18", "spec": {"burst": "much"}},
        {"kind": "key", "name": "school-18-a", "spec": {"workspace": "school-18", "digest": "x"}}
      ]
      """
    When the operator runs "apply FILE"
    Then the command ends with exit code 2
    And the error names line 3 and field "1.spec.requests_per_second"
    And the error names line 3 and field "1.spec.burst"
    And the error names line 4 and field "2.spec.digest"
    When the operator runs "get workspace school-18"
    Then the command ends with exit code 5

  Scenario: Two operators change the same field of a rate at once
    When two operators set the burst of "school-17" to 601 and 602 at once
    Then one of them wins and the other is shown both changes
    And the text of the other is kept in a file

  Scenario: Two operators change different fields of a rate at once
    When two operators set the burst to 603 and the rate to 604 of "school-17" at once, merging
    Then both changes are in force

  Scenario: A host dies while a change is on its way
    Given a fleet of its own
    And "host-3" has died, and the platform has not noticed
    When the operator runs "apply records.jsonc --timeout 2"
    Then the command ends with exit code 3
    And the error says "host-3 is on the platform's list but does not answer"
    When the platform takes "host-3" off its list
    And the operator runs "apply records.jsonc"
    Then the command ends with exit code 0

  Scenario: The store is down
    Given a fleet of its own
    And the store has died
    When the operator runs "list"
    Then the command ends with exit code 6
    And the error says "error 303 (STORE_UNAVAILABLE)"
    When a caller with the key "demo-secret-of-school-17" asks "host-1" for "/catalogue/devices/1"
    Then the answer has status 200
