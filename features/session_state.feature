Feature: session: session state is replayed or rejected, and never leaks to other sessions

  Scenario Outline: session: the settings replayed for a new transaction: <case>
    Given session: a session with the startup settings <startup>
    When session: the client sends <messages>
    And session: the client sends Q select 1
    Then session: the last unit replays the settings <settings>

    Examples:
      | case                      | startup      | messages                                     | settings        |
      | nothing                   | none         | Q select 1                                   | none            |
      | SET                       | none         | Q set a.b = 1                                | a.b=1           |
      | SET SESSION and a list    | none         | Q set session search_path to x, "Y", 'z'     | search_path=x, "Y", "z" |
      | SET TIME ZONE             | none         | Q set time zone 'Asia/Tokyo'                 | timezone=Asia/Tokyo |
      | SET in extended protocol  | none         | P : set a.b = 1 / B / E / S                  | a.b=1           |
      | SET twice                 | none         | Q set a.b = 1 / Q set A.B to 2               | a.b=2           |
      | SET LOCAL                 | none         | Q begin / Q set local a.b = 1 / Q commit     | none            |
      | SET LOCAL, no transaction | none         | Q set local a.b = 1                          | none            |
      | committed                 | none         | Q begin / Q set a.b = 1 / Q commit           | a.b=1           |
      | rolled back               | none         | Q begin / Q set a.b = 1 / Q rollback         | none            |
      | commit of a failed one    | none         | Q begin / Q set a.b = 1 / Q select fail / Q commit | none      |
      | lost                      | none         | Q begin / Q set a.b = 1 / Q select refuse(2004) / Q commit | none |
      | to a savepoint            | none         | Q begin / Q set a.b = 1 / Q savepoint s / Q set a.b = 2 / Q rollback to s / Q commit | a.b=1 |
      | savepoint released        | none         | Q begin / Q savepoint s / Q set a.b = 2 / Q release s / Q commit | a.b=2 |
      | saved, then failed        | none         | Q begin / Q set a.b = 1 / Q savepoint s / Q select fail / Q rollback to s; commit | a.b=1 |
      | in a query that fails     | none         | Q set a.b = 1; select fail                   | none            |
      | in a batch that fails     | none         | P : set a.b = 1 / B / E / P : select fail / B / E / S | none   |
      | RESET                     | none         | Q set a.b = 1 / Q reset a.b                  | none            |
      | RESET to the startup's    | a.b=7        | Q set a.b = 1 / Q reset a.b                  | a.b=7           |
      | RESET ALL                 | a.b=7        | Q set a.b = 1 / Q set a.c = 2 / Q reset all  | a.b=7           |
      | DISCARD ALL               | a.b=7        | Q set a.b = 1 / Q discard all                | a.b=7           |
      | SET to DEFAULT            | none         | Q set a.b = 1 / Q set a.b to default         | none            |
      | SET ROLE                  | none         | Q set role r                                 | role=r          |
      | characteristics           | none         | Q set session characteristics as transaction read only | default_transaction_read_only=on |
      | the driver's own name     | application_name=x | Q select 1                             | none            |

  Scenario Outline: session: its connection must be reset after <statement>: <cleaned>
    Given session: a session with the startup settings none
    When session: the client sends Q <statement>
    Then session: its connection must be reset: <cleaned>

    Examples:
      | statement                              | cleaned |
      | select 1                               | no      |
      | insert into a values (1)               | no      |
      | insert into a (b) values (lower('x'))  | no      |
      | set a.b = 1                            | yes     |
      | set a.b = 1; select 1                  | yes     |
      | reset a.b                              | yes     |
      | select my_function()                   | yes     |
      | insert into a values (my_function())   | yes     |
      | do 'x'                                 | yes     |
      | call p()                               | yes     |
      | select /* /* */ */ 1                   | yes     |
      | unheard of                             | yes     |

  Scenario Outline: session: <case> of one client doesn't affect the next, safeguard <safeguard>
    Given session: two clients of a tenant that share one connection, <dropped> dropped
    When session: the first sends <messages>
    Then session: the second's <probe> gives <second>
    And session: the first's <probe> gives <first>

    Examples:
      | case                  | safeguard | dropped | messages                                          | probe         | second       | first        |
      | SET                   | on        | nothing | Q set timezone to 'Asia/Tokyo'                    | show timezone | UTC          | Asia/Tokyo   |
      | SET, nothing replayed | off       | settings | Q set timezone to 'Asia/Tokyo'                   | show timezone | UTC          | UTC          |
      | SET LOCAL             | on        | nothing | Q begin / Q set local timezone to 'Asia/Tokyo' / Q commit | show timezone | UTC | UTC          |
      | set_config, local     | on        | nothing | Q select set_config('timezone', 'Asia/Tokyo', true) | show timezone | UTC        | UTC          |
      | set_config, for all   | off       | refusal | Q select set_config('timezone', 'Asia/Tokyo', false) | show timezone | UTC       | UTC          |
      | set_config, for all   | off       | refusal and cleaning | Q select set_config('timezone', 'Asia/Tokyo', false) | show timezone | Asia/Tokyo | Asia/Tokyo |

  Scenario: session: a caller that goes away in a transaction leaves neither it nor its settings
    Given session: two clients of a tenant that share one connection, nothing dropped
    When session: the first sends Q begin / Q set timezone to 'Asia/Tokyo' / Q insert into note values (901, 'x')
    And session: the first disconnects
    Then session: the second's show timezone gives UTC
    And session: the second's select count(*) from note where id = 901 gives 0

  Scenario: session: names of prepared statements are private to a client
    Given session: two clients of a tenant that share one connection, nothing dropped
    When session: the first sends P s: select 'one' / S
    And session: the second sends P s: select 'two' / S
    Then session: the first binds s and gets one
    And session: the second binds s and gets two
    When session: the second sends Q deallocate s
    Then session: the first binds s and gets one
    And session: the second binds s and gets the error 26000
