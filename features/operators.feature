Feature: Operators change a running fleet without losing each other's changes

  Scenario: A withdrawn key stops working on every host
    Given the operator has issued a key for "school-17"
    And every host serves a caller with that key
    When the operator withdraws the key
    Then the command ends with exit code 0
    And every host refuses that key with result code 103

  Scenario: An invalid file changes nothing, and every error is reported
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
    And an error is reported at line 3 and field "1.spec.requests_per_second"
    And an error is reported at line 3 and field "1.spec.burst"
    And an error is reported at line 4 and field "2.spec.digest"
    When the operator runs "get workspace school-18"
    Then the command ends with exit code 5

  Scenario: Two operators change the same field of a rate at once
    When two operators set the burst of "school-17" to 601 and 602 at once
    Then one edit succeeds and the other shows both changes
    And the rejected text is kept in a file

  Scenario: Two operators change different fields of a rate at once
    When two operators set the burst to 603 and the rate to 604 of "school-17" at once with --merge
    Then both changes are in force

  Scenario: A host dies before a change is in force
    Given a separate fleet
    And "host-3" has died but is still listed
    When the operator runs "apply records.jsonc --timeout 2"
    Then the command ends with exit code 3
    And the error says "host-3 is on the platform's list but does not answer"
    When the platform removes "host-3" from its list
    And the operator runs "apply records.jsonc"
    Then the command ends with exit code 0

  Scenario: The store is unavailable
    Given a separate fleet
    And the store has died
    When the operator runs "list"
    Then the command ends with exit code 6
    And the error says "error 303 (STORE_UNAVAILABLE)"
    When a caller with the key "demo-secret-of-school-17" requests "/catalogue/devices/1" from "host-1"
    Then the response has status 200
