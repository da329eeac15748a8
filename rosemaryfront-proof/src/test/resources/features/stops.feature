Feature: A planned stop cuts off no request

  Scenario Outline: no request is cut off when <stop>
    Given callers stream, wait and book without a pause
    When <stop>
    Then no request was cut off

    Examples:
      | stop                                                |
      | an entry is asked to stop                           |
      | the controller that holds the lease is asked to stop |
      | all entries are replaced one after the other        |
