Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: operators race
    When two operators change one resource through different entries at the same time
    Then the last change is in force on every entry
    And no entry ever went back to an earlier revision

  Scenario: the answer of an apply is lost
    When a change is applied while answers of the table service are lost, and repeated
    Then the change was declared once
    And the last change is in force on every entry

  Scenario: an entry starts while the table service is down
    When a change is applied
    And the last change is in force on every entry
    And the table service is down and a new entry starts
    Then the new entry has the last change in force while the table service is down

  Scenario: a frozen entry goes on
    Given an entry is frozen
    When a change is applied
    And it goes on after the others have the change in force
    Then the last change is in force on every entry
    And no entry ever went back to an earlier revision
