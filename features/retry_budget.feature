Feature: Retries inside the system are limited by a budget
  Each first attempt adds a fifth of a retry; a group with few requests may always make some.

  Scenario Outline: retry budget: <why>
    Given retry budget: the budget of a group
    When retry budget: <rate> requests a second arrive for 4 s, of which <share> % want retries, each up to <tries>
    Then retry budget: in the last 2 s at least <least> % and at most <most> % of the wanted retries are made
    And retry budget: in the last 2 s at most <load> retries are made per 100 requests

    Examples:
      | why                                  | rate | share | tries | least | most | load |
      | one read of ten is slow              | 200  | 10    | 1     | 100   | 100  | 10   |
      | one member of three fails, for some  | 200  | 20    | 1     | 95    | 100  | 20   |
      | all are turned away everywhere       | 200  | 100   | 3     | 0     | 10   | 22   |
      | most are, at many requests           | 1000 | 80    | 2     | 0     | 15   | 21   |
      | few requests, all need one           | 2    | 100   | 1     | 100   | 100  | 100  |

  Scenario: retry budget: the reserve covers a sudden fault of one member
    Given retry budget: the budget of a group
    When retry budget: 200 requests a second arrive for 2 s, of which 0 % want retries, each up to 1
    And retry budget: a third of 200 requests a second want a retry for 0.5 s
    Then retry budget: all of these retries are made

  Scenario: retry budget: the budget fills again after an overload
    Given retry budget: the budget of a group
    When retry budget: 500 requests a second arrive for 3 s, of which 100 % want retries, each up to 2
    And retry budget: 500 requests a second arrive for 1 s, of which 0 % want retries, each up to 1
    Then retry budget: 50 retries at once are made
