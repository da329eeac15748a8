Feature: A leaving backend server gets no new work after a few seconds

  Scenario Outline: a leaving runner gets no new work while <fault>
    Given callers send requests while <fault>
    When a runner is reclaimed with a long notice
    Then no entry sends it new work after the bound

    Examples:
      | fault                 |
      | the VM list is frozen |
      | notices are lost      |
