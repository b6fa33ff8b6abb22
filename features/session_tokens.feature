Feature: session: a token makes a session's writes visible to its reads at other proxies

  Background:
    Given session: a session at one proxy that has written

  Scenario Outline: session: roaming by <way> binds the reads at the next proxy
    When session: it roams to another proxy by <way>
    Then session: its next read must see its write

    Examples:
      | way              |
      | startup option   |
      | SET              |

  Scenario: session: a named session without a token is served with a barrier
    When session: a session named s17 connects without a token
    Then session: its next read must see its write
    When session: it has read once
    Then session: its next read has no barrier

  Scenario: session: a session that asks for a barrier is served with one
    When session: a session connects with the setting limedyke.barrier=on
    Then session: its next read must see its write

  Scenario: session: a write of unknown outcome is covered by a barrier, which roams
    When session: it sends Q delete refuse(3001)
    And session: it roams to another proxy by startup option
    Then session: its next read has a barrier

  Scenario: session: an older token never lowers the required position
    Given session: the token is kept
    When session: it sends Q insert into a values (2)
    And session: it takes the kept token by SET
    Then session: its next read must see its write

  Scenario Outline: session: a token that is <fault> is refused with <code> by <way>
    When session: it roams with a token that is <fault> by <way>
    Then session: it is refused with 28000 and <code>

    Examples:
      | fault                       | way            | code   |
      | another tenant's            | startup option | LD2002 |
      | another group's             | startup option | LD2002 |
      | another user's              | startup option | LD2002 |
      | another tenant's            | SET            | LD2002 |
      | changed in any one bit      | startup option | LD2001 |
      | cut short                   | startup option | LD2001 |
      | one character longer        | startup option | LD2001 |
      | no token at all             | startup option | LD2001 |
      | no token at all             | SET            | LD2001 |
      | not in ASCII                | startup option | LD2001 |
      | signed with another key       | startup option | LD2001 |
      | from the future             | startup option | LD2001 |
      | older than a day            | startup option | LD2003 |
      | signed with a withdrawn key   | startup option | LD2003 |
      | signed with a withdrawn key   | SET            | LD2003 |

  Scenario Outline: session: keys are rotated: <case>
    When session: a token made with the keys <made> is checked by a proxy with the keys <there>
    Then session: it is <outcome>

    Examples:
      | case                        | made | there | outcome  |
      | the new one isn't there yet | 1 2  | 1     | refused  |
      | the new one is there first  | 1    | 1 2   | accepted |
      | the new one signs           | 1 2  | 1 2   | accepted |
      | the old one is withdrawn    | 1 2  | 2     | accepted |
      | the old token is too old    | 1    | 2     | refused  |
      | other bytes by the same id  | 1    | 1bad  | refused  |

  Scenario: session: the newest key signs
    Then session: a proxy with the keys 1 2 signs with key 2

  Scenario: session: without declared keys no token is issued or accepted
    When session: it roams to a proxy without keys
    Then session: it is refused with 28000 and LD2003

  Scenario Outline: session: with the safeguard "<safeguard>" off, <attack> causes a violation
    When session: the safeguard "<safeguard>" is off
    And session: it is exposed to <attack>
    Then session: its next read need not see its write

    Examples:
      | safeguard          | attack                         |
      | signature          | a token with a lower position  |
      | owner              | a token of another tenant      |
      | never back         | an older token by SET          |
      | barrier by name    | a name without a token         |
      | barrier on loss    | a lost write                   |
      | write behind rollback | a write behind a rollback   |

  Scenario Outline: session: with its safeguards on, <attack> does no harm
    When session: it is exposed to <attack>
    Then session: it is refused, or its next read must see its write

    Examples:
      | attack                         |
      | a token with a lower position  |
      | a token of another tenant      |
      | an older token by SET          |
      | a name without a token         |
      | a lost write                   |
      | a write behind a rollback      |

  Scenario Outline: session: what changes the required position of reads: <case>
    When session: a new session sends <messages>
    Then session: its required position <moves>

    Examples:
      | case                        | messages                                             | moves  |
      | a write                     | Q insert into a values (1)                           | moves  |
      | a read                      | Q select 1                                           | stays  |
      | a read, monotonic           | Q set limedyke.monotonic_reads = on / Q select 1     | moves  |
      | a function that may write   | Q select my_function()                               | moves  |
      | a transaction that wrote    | Q begin / Q insert into a values (1) / Q commit      | moves  |
      | one that only read          | Q begin / Q select 1 / Q commit                      | stays  |
      | one rolled back             | Q begin / Q insert into a values (1) / Q rollback    | stays  |
      | one pipelined               | P : begin / B / E / P : delete from a / B / E / P : commit / B / E / S | moves |
      | a write marked as a read    | Q select my_function('on-primary') /*limedyke_route='replica'*/ | barrier |
      | the same, by a replica      | Q select my_function() /*limedyke_route='replica'*/  | stays  |
      | a commit hidden from view   | Q begin / Q insert into a values (1) / Q /* /* */ */ commit; begin | barrier |
      | a write behind a rollback   | Q begin / Q rollback; insert into b values (1)       | moves  |
