Feature: The test runner
  Its verdict is the sum over all feature files, and only listed failures are tolerated.

  Scenario Outline: A feature file that does not pass counts as failed
    Given runner: a project whose feature file <content>
    When runner: the feature file is run
    Then runner: <passed> scenarios passed and "<failed>" failed

    Examples:
      | content                  | passed | failed           |
      | passes                   | 1      |                  |
      | fails in one of two      | 1      | it fails         |
      | skips a scenario         | 1      | it is skipped    |
      | uses a step nobody wrote | 0      | it is undefined  |
      | cannot be parsed         | 0      | (the whole file) |
      | holds no scenario        | 0      | (the whole file) |
      | never ends               | 0      | (the whole file) |

  Scenario Outline: Only listed failures are tolerated
    When runner: <failed> fail and the list holds <listed>
    Then runner: the unexpected failures are <unexpected>

    Examples:
      | failed | listed | unexpected |
      | nothing | nothing | nothing   |
      | a       | nothing | a         |
      | a       | a       | nothing   |
      | a, b    | a       | b         |
      | a       | b       | a         |

  Scenario Outline: A list of known failures is checked
    When runner: a list with <lines> is read
    Then runner: the list is <verdict>

    Examples:
      | lines                          | verdict  |
      | no line                        | accepted |
      | six entries                    | accepted |
      | seven entries                  | refused  |
      | an entry without a command     | refused  |
      | an entry without what was seen | refused  |
      | an entry without issue         | refused  |
      | an entry of five fields        | refused  |

  Scenario: A fleet feature is recognised by its tag
    Then runner: a feature tagged @fleet runs alone, and one that only mentions it does not

  Scenario: Fleet features of two checkouts run in turn
    Given runner: another checkout runs a fleet feature
    Then runner: a fleet feature here does not begin
    When runner: the other checkout is done
    Then runner: a fleet feature here begins
