Feature: A caller gets the answer to its own request only

  Scenario Outline: another organisation's key reads 404 for a <form> answer
    Given a <form> answer is on its way to "sfax"
    When it is mid-stream
    Then "sousse" reads 404 for it from every entry
    And the caller gets the whole answer
    And "sousse" reads 404 for it from every entry

    Examples:
      | form     |
      | streamed |
      | whole    |
