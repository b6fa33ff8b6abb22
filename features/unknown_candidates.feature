Feature: A voter answers a candidate that its own log does not name, if that candidate's log is longer

  Scenario Outline: unknown candidates: <who>, whose log is <log>, is <answer>
    Given unknown candidates: a voter of "a b c" whose log ends at entry 5 of term 2
    And unknown candidates: "b" was replaced by its new incarnation in entry 4
    When unknown candidates: <who> asks for its pre-vote and its vote, and its log ends at <end>
    Then unknown candidates: it is <answer>

    Examples:
      | who                                | log     | end              | answer            |
      | a member                           | longer  | entry 6 of term 2 | granted both     |
      | a member                           | as long | entry 5 of term 2 | granted both     |
      | a member                           | shorter | entry 4 of term 2 | refused          |
      | a controller that was added since  | longer  | entry 6 of term 2 | granted both     |
      | a controller that was added since  | newer   | entry 4 of term 3 | granted both     |
      | a controller that was added since  | as long | entry 5 of term 2 | not answered     |
      | a controller that was added since  | shorter | entry 4 of term 2 | not answered     |
      | a member's next incarnation        | longer  | entry 6 of term 2 | granted both     |
      | a member's earlier incarnation     | longer  | entry 6 of term 2 | not answered     |

  Scenario: unknown candidates: a candidate whose address is unknown is answered once it has asked for the leader
    Given unknown candidates: a controller's network that knows no address of "d"
    When unknown candidates: a message is sent to "d"
    Then unknown candidates: "d" receives nothing
    When unknown candidates: "d" tells its address as it asks for the leader
    Then unknown candidates: "d" receives nothing
    When unknown candidates: a message is sent to "d"
    Then unknown candidates: "d" receives it
