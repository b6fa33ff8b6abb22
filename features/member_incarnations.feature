Feature: A member that starts again under its identity is another incarnation
  A member may start again under the identity that it had. It holds nothing of before, its numbers begin anew, and it
  tells when it started. The leader went by numbers and times alone. It took no notice of a member that started again
  elsewhere within 3 s, of one that came back long after it had withdrawn, and of one that had drained before it
  crashed; it told no proxy of one that started again at its own address, so that an empty primary was read and
  written as if it held all; and it took a word of the former incarnation that came 3.6 s late for a restart.

  Scenario Outline: incarnation: <why>
    Given incarnation: members "a:primary b:replica c:replica" that tell when they started
    When incarnation: the leader hears: <event>
    Then incarnation: the log learns "<learned>"

    Examples:
      | why                                           | event                                                     | learned   |
      | elsewhere, at once                            | b starts again elsewhere; 1 s later b says number 1       | b of 2    |
      | at its address, all else alike                | b starts again; 1 s later b says number 1                 | b of 2    |
      | long after it withdrew                        | b withdraws; b starts again; 120 s later b says number 1  | b of 2    |
      | right after it withdrew                       | b withdraws; b starts again; 1 s later b says number 1    | b of 2    |
      | after it drained and crashed                  | b drains; b starts again; 10 s later b says number 1      | b of 2    |
      | a late word of before                         | b starts again elsewhere; 1 s later b says number 1; 3.6 s later b of 1 says number 1 | -         |
      | the same, with a high number                  | b starts again elsewhere; 1 s later b says number 1; 1 s later b of 1 says number 99  | -         |
      | a late withdrawal of before                   | b starts again; 1 s later b says number 1; b of 1 withdraws | -       |
      | a low number of one incarnation, however late | 60 s later b says number 0                                | -         |
      | a word after its end                          | b withdraws; 1 s later b says number 9                    | -         |
      | a word after its end, long after              | b withdraws; 120 s later b says number 9                  | -         |
      | a word after its end, at a new leader         | b withdraws; another leads; 1 s later b says number 9     | -         |
      | an end told twice                             | b withdraws; b withdraws                                  | -         |
      | the end of one that is not recorded           | x of 1 withdraws                                          | x of 1 ended |
      | at an address that it had lost                | d takes the address of b; b starts again; 1 s later b says number 1 | b of 2, without d |
      | a late word from an address that it had lost  | d takes the address of b; 1 s later b says number 99      | -         |

  Scenario: incarnation: where members do not tell when they started, one that withdrew may come back later
    Given incarnation: members "a:primary b:replica c:replica" that do not tell when they started
    When incarnation: the leader hears: b withdraws; 120 s later b says number 1
    Then incarnation: the log learns "b of 0"

  Scenario Outline: incarnation: <who> does not tell its start, where <who tells> told theirs
    Given incarnation: members "a:primary b:replica c:replica", of which <who tells> tell when they started
    When incarnation: the leader hears: 1 s later <who> of 0 says number 9
    Then incarnation: the log learns "<learned>"

    Examples:
      | who tells | who | learned |
      | a b c     | d   | -       |
      | a b c     | b   | -       |
      | a         | a   | -       |
      | a         | d   | d of 0  |
      | nobody    | d   | d of 0  |

  Scenario: incarnation: ends and lost addresses are still known after a restart of all controllers
    Given incarnation: members "a:primary b:replica c:replica" that tell when they started
    When incarnation: the leader hears: b withdraws; d takes the address of c; the log is read from a snapshot
    And incarnation: the leader hears: 1 s later b says number 9
    Then incarnation: the log learns "-"
    When incarnation: the leader hears: 1 s later c says number 9
    Then incarnation: the log learns "-"

  Scenario Outline: incarnation: a primary that starts again holds nothing: <why>
    Given incarnation: a group with primary a, replicas b and c, seen at 800, 500 and 400 by proxies p q r
    When incarnation: in the group, <event>
    And incarnation: <ms> ms pass in the group
    Then incarnation: promotion is <outcome>

    Examples:
      | why                                       | event                                                         | ms   | outcome    |
      | it says that it leads                     | a starts again as primary                                     | 300  | asked of b |
      | it says that it does not                  | a starts again as replica                                     | 300  | asked of b |
      | so did the replica that was ahead         | b starts again as replica; a starts again as primary          | 300  | asked of c |
      | what was seen of that replica comes late  | b starts again as replica; p q r see b of before at 900; a starts again as primary | 300 | asked of c |
      | the replica that was ahead holds all again | b starts again as replica; p q r see b at 900; a starts again as primary | 300 | asked of b |
      | cut off from the leader, it tells proxies that it does not lead | p q see that a does not lead            | 2000 | asked of b |
      | then it can't be reached any more         | p q r see that a does not lead; 300 ms pass; p q can't reach a | 300 | asked of b |
      | it was unreachable for a moment before that | p q can't reach a; p q see that a does not lead             | 1000 | not asked  |
      | a single proxy saw that                   | p sees that a does not lead                                   | 3000 | not asked  |
      | for a moment only                         | p q see that a does not lead; 500 ms pass; p q see that a leads | 3000 | not asked |

  Scenario Outline: incarnation: a primary that starts again, and is its group's only member, as <role>
    Given incarnation: a group with primary a alone, seen by proxies p q r
    When incarnation: in the group, a starts again as <role>
    And incarnation: 1000 ms pass in the group
    Then incarnation: promotion is <outcome>
    When incarnation: in the group, <then>
    And incarnation: 500 ms pass in the group
    Then incarnation: the recorded primary is a, of its present incarnation

    Examples:
      | role    | outcome    | then                                       |
      | primary | not asked  | nothing happens                            |
      | replica | asked of a | the authority answers; a says primary      |

  Scenario Outline: incarnation: a proxy takes nothing from a primary that has started again empty: <consistency>, it <says>, <told>
  Until it hears of the change of primary, a proxy read and wrote at what is empty now: "READ x" was told "- done" right
  after a write of 1, and so was every read within the bound for as long as the member was cut off from the controllers.
    Given incarnation: a proxy of a <consistency> database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: a starts again empty, <says>, and <told>
    Then incarnation: reads of x and writes of y are not answered by what a holds now
    And incarnation: within 600 ms the proxy reports that a can't lead
    When incarnation: b leads, and the proxy is told
    Then incarnation: the client reads 1 from x, and can write

    Examples:
      | consistency | says                 | told                  |
      | primary     | says that it leads   | the proxy is told     |
      | primary     | says that it leads   | nobody tells the proxy |
      | primary     | says that it follows | nobody tells the proxy |
      | session     | says that it leads   | the proxy is told     |
      | session     | says that it leads   | nobody tells the proxy |
      | bounded     | says that it leads   | nobody tells the proxy |

  Scenario Outline: incarnation: a replica that has started again empty is read once it holds what a read must see: <told>
    Given incarnation: a proxy of a session database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: the client reads x at b
    And incarnation: b starts again empty, says that it follows, and <told>
    Then incarnation: the client reads 1 from x, and can write

    Examples:
      | told                   |
      | the proxy is told      |
      | nobody tells the proxy |

  Scenario: incarnation: a proxy keeps its connections to a member whose record changes in its own life
    Given incarnation: a proxy of a session database on primary a, replicas b and c
    When incarnation: a client writes 1 to x
    And incarnation: the proxy is told that b drains
    Then incarnation: a has still the connection that it had
