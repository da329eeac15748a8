Feature: An accepted request survives every announced reclaim

  Scenario Outline: a <form> answer survives: <fault> <step>
    Given a <form> answer is on its way to "sfax"
    When <fault> <step>
    Then the caller gets the whole answer

    Examples:
      | form     | fault                                              | step                   |
      | streamed | its runner is reclaimed with notice                | before the first token |
      | streamed | its runner is reclaimed with notice                | mid-stream             |
      | streamed | its runner is reclaimed with notice                | near the end           |
      | whole    | its runner is reclaimed with notice                | mid-stream             |
      | streamed | its runner halts without notice                    | before the first token |
      | streamed | its runner halts without notice                    | mid-stream             |
      | streamed | its runner halts without notice                    | near the end           |
      | whole    | its runner halts without notice                    | mid-stream             |
      | streamed | its engine's open connections fall silent          | mid-stream             |
      | whole    | its engine's open connections fall silent          | mid-stream             |
      | streamed | its runner's zone is reclaimed                     | mid-stream             |
      | whole    | its runner's zone is reclaimed                     | mid-stream             |
      | streamed | its runner and then its next runner are reclaimed  | mid-stream             |
      | whole    | its runner and then its next runner are reclaimed  | mid-stream             |
      | streamed | its entry is asked to stop                         | before the first token |
      | streamed | its entry is asked to stop                         | mid-stream             |
      | streamed | its entry is asked to stop                         | near the end           |
      | whole    | its entry is asked to stop                         | mid-stream             |
      | streamed | its entry is reclaimed                             | mid-stream             |
      | whole    | its entry is reclaimed                             | mid-stream             |
