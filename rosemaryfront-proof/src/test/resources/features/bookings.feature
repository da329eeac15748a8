Feature: A booking runs at most once, and "not run" is true

  Scenario Outline: a booking that certainly did not run can be repeated: <fault>
    Given bookings meet this: <fault>
    When a booking is sent
    Then the first caller reads "not-run"
    And the booking ran at most once and every verdict is true
    When the fault is over
    And the booking is repeated through every entry
    Then the repeats confirm one booking
    And the booking ran at most once and every verdict is true

    Examples:
      | fault                                |
      | every service refuses before running |
      | the table service is down            |
      | the table service does not answer    |

  Scenario Outline: a booking with an unknown outcome never runs again: <fault>
    Given bookings meet this: <fault>
    When a booking is sent
    Then the first caller reads "may-have-run"
    When the fault is over
    And the booking is repeated through every entry
    Then the booking ran at most once and every verdict is true

    Examples:
      | fault                                    |
      | the service dies before it runs the call |
      | the answer is lost after the call ran    |

  Scenario Outline: a booking over a bad table service is answered truly: <fault>
    Given bookings meet this: <fault>
    When a booking is sent
    Then the booking ran at most once and every verdict is true
    When the fault is over
    And the booking is repeated through every entry
    Then the repeats confirm one booking
    And the booking ran at most once and every verdict is true

    Examples:
      | fault                                          |
      | the table service loses the answers of claims  |
      | the table service is slow                      |

  Scenario: repeats through all entries at once run one booking
    Given bookings meet this: nothing
    When the booking is sent many times at once through all entries
    Then the repeats confirm one booking
    And the booking ran at most once and every verdict is true

  Scenario: a booking whose entry is killed during the call never runs again
    When a booking is under way at a service
    And its entry is killed
    And the first caller has its answer
    And the booking is repeated through the other entries
    Then the first caller reads "may-have-run"
    And the booking ran at most once and every verdict is true

  Scenario: a booking whose entry is frozen past its deadline never runs again
    When a booking is under way at a service
    And its entry is frozen past the call's deadline
    And the booking is repeated through the other entries
    And its entry goes on
    And the first caller has its answer
    Then the booking ran at most once and every verdict is true
