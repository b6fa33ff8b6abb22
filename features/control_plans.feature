Feature: Plans, confirmations and the history in the replicated state
  A plan takes effect only when it is confirmed, and only once.

  Scenario: plans: an unconfirmed plan has no effect
    Given plans: revision 1 with groups "g1"
    When plans: "anna" plans groups "g1 g2" as "p"
    Then plans: the plan "p" shows "add group g2"
    And plans: revision 1 with groups "g1" is in force

  Scenario Outline: plans: of two plans on the same base revision exactly one can be confirmed
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1 g2" as "a"
    And plans: "bert" plans groups "g1 g3" as "b"
    When plans: <first> is confirmed
    And plans: a controller restarts from its snapshot <restart>
    And plans: <second> is confirmed
    Then plans: <first> is answered "Confirmed" at revision 2
    And plans: <second> is answered "REVISION_CONFLICT" at revision 2
    And plans: revision 2 with groups "<groups>" is in force

    Examples:
      | first | second | restart | groups |
      | a     | b      | no      | g1 g2  |
      | b     | a      | no      | g1 g3  |
      | a     | b      | yes     | g1 g2  |
      | b     | a      | yes     | g1 g3  |

  Scenario: plans: in random histories one plan per base revision wins, once, and answers never change
    Then plans: 100 random histories of concurrent operators keep the rules

  Scenario Outline: plans: without a safeguard some history violates the rules
    Then plans: without "<safeguard>" one of 20 random histories violates the rules

    Examples:
      | safeguard                              |
      | of plans on one base revision one wins |
      | a resent request gets its first answer |
      | plans expire                           |
      | a conflict names the winner            |

  Scenario Outline: plans: a repeated confirmation gets the first answer
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1 g2" as "a"
    And plans: "bert" plans groups "g1 g3" as "b"
    And plans: a is confirmed
    And plans: b is confirmed
    And plans: <later> further changes come into force
    And plans: a controller restarts from its snapshot <restart>
    When plans: <plan> is confirmed again with <request>
    Then plans: the answer is the first one of <plan>
    And plans: the state is unchanged

    Examples:
      | plan | request          | later | restart |
      | a    | the same request | 0     | no      |
      | a    | the same request | 5     | yes     |
      | a    | another request  | 0     | no      |
      | a    | another request  | 5     | yes     |
      | a    | another operator | 5     | no      |
      | b    | the same request | 0     | yes     |
      | b    | another request  | 5     | no      |
      | b    | another request  | 5     | yes     |

  Scenario Outline: plans: plans that cannot be confirmed
    Given plans: revision 1 with groups "g1"
    And plans: the primary of "g1" is "m1"
    And plans: "anna" plans <change> as "a"
    When plans: <what> is confirmed <after> s later
    Then plans: the answer is "<code>"
    And plans: revision 1 with groups "g1" is in force

    Examples:
      | change                   | what            | after | code                |
      | groups "g1 g2"           | a               | 100   | PLAN_EXPIRED        |
      | groups "g1 g2"           | a               | 5000  | PLAN_EXPIRED        |
      | groups "g1 g2"           | an unknown plan | 1     | PLAN_UNKNOWN        |
      | "g1" without member "m1" | a               | 1     | DECLARATION_INVALID |

  Scenario: plans: an expired plan can be created again
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1 g2" as "a"
    When plans: a is confirmed 100 s later
    And plans: "anna" plans groups "g1 g2" as "again" 200 s later
    And plans: again is confirmed 210 s later
    Then plans: revision 2 with groups "g1 g2" is in force

  Scenario: plans: an expired plan stays expired under a later leader with a slower clock
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1 g2" as "a"
    When plans: an unknown plan is confirmed 5000 s later
    And plans: a is confirmed 1 s later
    Then plans: the answer is "PLAN_EXPIRED"

  Scenario: plans: a plan without changes creates no revision
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1" as "a"
    When plans: a is confirmed
    Then plans: a is answered "Confirmed" at revision 1
    And plans: the history has 1 entries

  Scenario: plans: the history names the operator and the change
    Given plans: revision 1 with groups "g1"
    And plans: "anna" plans groups "g1 g2" as "a"
    When plans: "bert" confirms a
    Then plans: the newest history entry is revision 2 by "bert" and says "add group g2"

  Scenario Outline: plans: the history also records operations that create no revision
    Given plans: revision 1 with groups "g1"
    And plans: the primary of "g1" is "m1"
    When plans: "anna" confirms <operation>, and the request arrives twice
    Then plans: the newest history entry is revision 1 by "anna" and says "<words>"
    And plans: the history has 2 entries

    Examples:
      | operation                | words                  |
      | a switchover of g1 to m2 | switchover of g1 to m2 |
      | a change of controllers  | controllers: remove c3 |

  Scenario: plans: a plan id never parses as a number
    Then plans: the ids of 2000 plans are parsed as text by the command line

  Scenario: plans: controllers that apply the same entries have identical states
    Then plans: any entries give equal states, also with a restart from a snapshot in between

  Scenario: plans: a merged update has the same effect as its parts
    Then plans: any changes give a proxy the same view in one update or in many

  Scenario Outline: plans: the effects shown by a plan
    Given plans: revision 1 with groups "g1"
    And plans: the primary of "g1" is "m1"
    When plans: "anna" plans <change> as "a"
    Then plans: the plan "a" shows "<effect>"

    Examples:
      | change                   | effect                                        |
      | no groups                | connections to 3 members are closed           |
      | "g1" with "m1" leaving   | the primary moves from m1 to another member   |
      | "g1" with "m2" leaving   | m2 gets no new work                           |
      | "g1" without member "m2" | connections to m2 are closed                  |
      | "g1" with 30 connections | up to 10 connections a member are closed      |
      | "g1" with a budget of 10 | up to 20 connections of t a member are closed |
