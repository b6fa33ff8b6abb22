Feature: A hedged read releases the connection that it does not use
  Whichever member answers first, the connection to the other one returns to its pool.

  Scenario Outline: hedged reads: <why>
    When hedged reads: the first answers "<first>" after <first ms> ms, the second "<second>" after <second ms> ms
    Then hedged reads: the answer of the <winner> is returned, with its connection lent
    And hedged reads: the connection of the other is <other>

    Examples:
      | why                             | first     | first ms | second | second ms | winner | other      |
      | the first is quick              | done      | 10       | done   | 10        | first  | never lent |
      | the second answers first        | done      | 300      | done   | 10        | second | closed     |
      | the first answers all the same  | done      | 150      | done   | 300       | first  | closed     |
      | the second is behind            | done      | 200      | behind | 10        | first  | given back |
      | the first breaks                | lost      | 150      | done   | 150       | second | closed     |
      | neither answers                 | timed-out | 150      | lost   | 10        | first  | closed     |

  Scenario: hedged reads: both answer at the same moment
    When hedged reads: both answer "done" at the same moment
    Then hedged reads: the answer of one of them is returned, with its connection lent
    And hedged reads: the connection of the other is given back

  Scenario: hedged reads: the client disconnects meanwhile
    When hedged reads: both answer "done" at the moment when the client disconnects
    Then hedged reads: no connection stays lent
