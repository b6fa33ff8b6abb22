Feature: client: the protocol after the login

  Background:
    Given client: a session

  Scenario Outline: client: <case>
    When client: the client sends <messages>
    Then client: the units were <units>
    And client: the client receives <answer>

    Examples: simple queries
      | case                       | messages                         | units       | answer                       |
      | a read                     | Q select 1                       | read        | T D:select 1 C:SELECT 1 Z:I  |
      | a write                    | Q insert into a values (1)       | write       | C:INSERT 0 1 S:limedyke.session Z:I |
      | an error                   | Q select fail                    | read        | E:22012 Z:I                  |
      | an empty query             | Q                                | none        | I Z:I                        |
      | only a comment             | Q -- ping                        | none        | I Z:I                        |
      | several reads              | Q select 1; select 2             | read        | T D:select 1 C:SELECT 1 T D: select 2 C:SELECT 1 Z:I |
      | a read and a write         | Q select 1; delete from a        | write       | T D:select 1 C:SELECT 1 C:DELETE S:limedyke.session Z:I |
      | pipelined queries          | Q select 1 / Q select 2          | read read   | T D:select 1 C:SELECT 1 Z:I T D:select 2 C:SELECT 1 Z:I |
      | refused: COPY              | Q copy a from stdin              | none        | E:0A000 Z:I                  |
      | refused: LISTEN            | Q listen x                       | none        | E:0A000 Z:I                  |
      | refused: temporary table   | Q create temp table a (b int)    | none        | E:0A000 Z:I                  |
      | refused: session lock      | Q select pg_advisory_lock(1)     | none        | E:0A000 Z:I                  |
      | refused: in a list         | Q select 1; listen x             | none        | E:0A000 Z:I                  |
      | refused: function call     | F                                | none        | E:0A000 Z:I                  |
      | refused by the back end    | Q select 'refuse(3004)'          | read        | E:53300 Z:I                  |
      | a hidden write             | Q select 'replica-error'         | read write  | T D:select 'replica-error' C:SELECT 1 S:limedyke.session Z:I |
      | one behind a read          | Q select 1; select 'replica-error' | read      | T D:select 1 C:SELECT 1 E:25006 Z:I |
      | one in a read-only session | Q set default_transaction_read_only = on / Q select 'replica-error' | read read | C:SET Z:I E:25006 Z:I |
      | end of no transaction      | Q rollback                       | none        | N:25P01 C:ROLLBACK Z:I       |

    Examples: extended batches
      | case                       | messages                                   | units     | answer                       |
      | unnamed                    | P : select 1 / B / DP / E / S              | read      | 1 2 T D:select 1 C:SELECT 1 Z:I |
      | unnamed write              | P : delete from a / B / DP / E / S         | write     | 1 2 n C:DELETE S:limedyke.session Z:I |
      | unnamed over two batches   | P : select 1 / S / B / E / S               | read read | 1 Z:I 2 D:select 1 C:SELECT 1 Z:I |
      | parse and describe         | P s: select 1 / DS s / S                   | read      | 1 t T Z:I                    |
      | a hidden write, described  | P : select 'replica-error' / B / DP / E / S | read write | 1 2 T D:select 'replica-error' C:SELECT 1 S:limedyke.session Z:I |
      | a hidden write, prepared   | P s: select 'replica-error' / S / B s / E / S | read read write | 1 Z:I 2 D:select 'replica-error' C:SELECT 1 S:limedyke.session Z:I |
      | named, all in one          | P s: select 1 / B s / E / S                | read      | 1 2 D:select 1 C:SELECT 1 Z:I |
      | named, parse alone         | P s: select 1 / S / B s / E / S            | read read | 1 Z:I 2 D:select 1 C:SELECT 1 Z:I |
      | named twice is refused     | P s: select 1 / S / P s: select 2 / S      | read      | 1 Z:I E:42P05 Z:I            |
      | closed and named again     | P s: select 1 / S / CS s / P s: select 2 / S | read read | 1 Z:I 3 1 Z:I              |
      | a name nobody parsed       | B s / E / S                                | none      | E:26000 Z:I                  |
      | named with an error        | P s: fail / S / B s / E / S                | read      | E:42601 Z:I E:26000 Z:I      |
      | DEALLOCATE                 | P s: select 1 / S / Q deallocate s / B s / E / S | read | 1 Z:I C:DEALLOCATE Z:I E:26000 Z:I |
      | several statements         | P : select 1 / B / E / P : delete from a / B / E / S | write | 1 2 D:select 1 C:SELECT 1 1 2 C:DELETE S:limedyke.session Z:I |
      | error, rest skipped        | P : select fail / B / E / P : select 2 / B / E / S | read | 1 2 E:22012 Z:I      |
      | refused as a whole         | P : delete from a / B / E / P : listen x / B / E / S | none | E:0A000 Z:I        |
      | flush behind describe      | P s: select 1 / DS s / H / B s / E / S     | read read | 1 t T 2 D:select 1 C:SELECT 1 Z:I |
      | flush behind bind          | P : select 1 / B / H / E / S               | none      | E:0A000 Z:I                  |
      | flush behind a read        | P : select 1 / B / DP / E / H / P : delete from a / B / E / S | read write | 1 2 T D:select 1 C:SELECT 1 1 2 C:DELETE S:limedyke.session Z:I |
      | flush behind a write       | P : delete from a / B / E / H / S          | none      | E:0A000 Z:I                  |
      | portal of the batch before | P : select 1 / B / S / E / S               | read write | 1 2 Z:I E:34000 S:limedyke.session Z:I |
      | own portal, batch before   | P : show limedyke.route / B / S / E / S    | write     | 1 2 Z:I E:34000 S:limedyke.session Z:I |
      | the end of no transaction  | P : commit / B / E / S                     | none      | N:25P01 1 2 C:COMMIT Z:I     |
      | flush in a transaction     | Q begin / P : select 1 / B / E / H / S     | write write | C:BEGIN Z:T 1 2 D:select 1 C:SELECT 1 Z:T |
      | sync alone                 | S / S                                      | none      | Z:I Z:I                      |
      | the proxy's own setting    | P : show limedyke.route / DS / B / E / S   | none      | 1 t T 2 D:auto C:SHOW Z:I    |
      | own and others together    | P : set limedyke.route=primary / B / E / P : select 1 / B / E / S | write | 1 2 C:SET 1 2 D:select 1 C:SELECT 1 Z:I |

    Examples: transactions
      | case                       | messages                                   | units             | answer                  |
      | committed                  | Q begin / Q delete from a / Q commit       | write write write | C:BEGIN Z:T C:DELETE Z:T C:COMMIT S:limedyke.session Z:I |
      | a hidden write in one      | Q begin read only / Q select 'replica-error' / Q rollback | read read read | C:BEGIN Z:T E:25006 Z:E C:ROLLBACK Z:I |
      | read only                  | Q begin read only / Q select 1 / Q commit  | read read read    | C:BEGIN Z:T T D:select 1 C:SELECT 1 Z:T C:COMMIT Z:I |
      | failed                     | Q begin / Q select fail / Q select 1 / Q rollback | write write write write | C:BEGIN Z:T E:22012 Z:E E:25P02 Z:E C:ROLLBACK Z:I |
      | refused inside             | Q begin / Q listen x / Q select 1 / Q commit / Q select 1 | write read | C:BEGIN Z:T E:0A000 Z:E E:25P02 Z:E C:ROLLBACK Z:I T D:select 1 C:SELECT 1 Z:I |
      | lost inside                | Q begin / Q delete refuse(2004) / Q delete from a / Q commit | write write | C:BEGIN Z:T E:40001 Z:E E:25P02 Z:E C:ROLLBACK Z:I |
      | lost before commit was sent| Q begin / Q delete refuse(3001) / Q rollback | write write     | C:BEGIN Z:T E:40001 Z:E C:ROLLBACK Z:I |
      | lost at commit             | Q begin / Q commit refuse(3001) / Q select 1 | write write read | C:BEGIN Z:T E:40003 S:limedyke.session Z:I T D:select 1 C:SELECT 1 S:limedyke.session Z:I |
      | committed, nothing written | Q begin / Q select 1 / Q commit            | write write write | C:BEGIN Z:T T D:select 1 C:SELECT 1 Z:T C:COMMIT Z:I |
      | rolled back                | Q begin / Q delete from a / Q rollback     | write write write | C:BEGIN Z:T C:DELETE Z:T C:ROLLBACK Z:I |
      | in one query               | Q begin; delete from a; commit             | write             | C:BEGIN C:DELETE C:COMMIT S:limedyke.session Z:I |
      | in one pipelined batch     | P : begin / B / E / P : delete from a / B / E / P : commit / B / E / S | write | 1 2 C:BEGIN 1 2 C:DELETE 1 2 C:COMMIT S:limedyke.session Z:I |
      | by statements prepared     | P b: begin / P d: delete from a / P c: commit / S / B b / E / B d / E / B c / E / S | read write | 1 1 1 Z:I 2 C:BEGIN 2 C:DELETE 2 C:COMMIT S:limedyke.session Z:I |
      | COMMIT prepared before     | P c: commit / S / Q begin / Q delete from a / B c / E / S | write write write | 1 Z:I C:BEGIN Z:T C:DELETE Z:T 2 C:COMMIT S:limedyke.session Z:I |
      | a write behind a rollback  | Q begin / Q delete from a / Q rollback; insert into b values (1) | write write write | C:BEGIN Z:T C:DELETE Z:T C:ROLLBACK C:INSERT 0 1 S:limedyke.session Z:I |
      | committed behind a savepoint | Q begin / Q delete from a / Q savepoint s / Q select fail / Q rollback to s; commit | write write write write write | C:BEGIN Z:T C:DELETE Z:T C:SAVEPOINT Z:T E:22012 Z:E C:ROLLBACK C:COMMIT S:limedyke.session Z:I |
      | committed and chained      | Q begin / Q commit and chain               | write             | C:BEGIN Z:T E:0A000 Z:E |
      | rolled back and chained    | Q begin / Q delete from a / Q rollback and chain | write write write | C:BEGIN Z:T C:DELETE Z:T C:ROLLBACK Z:T |
      | another one in the query   | Q begin; delete from a; commit; begin      | none              | E:0A000 Z:I |
      | another one in the batch   | Q begin / P : commit / B / E / P : begin / B / E / S | write   | C:BEGIN Z:T E:0A000 Z:E |
      | opened where none can tell | Q create function f() returns int begin atomic select 1 as case; end; begin / Q select 1 / Q rollback | write | C:CREATE C:END C:BEGIN Z:E E:25P02 Z:E C:ROLLBACK Z:I |
      | commit hidden from view    | Q begin / Q delete from a / Q /* /* */ */ commit; begin / Q rollback | write write write write | C:BEGIN Z:T C:DELETE Z:T C:/* C:BEGIN S:limedyke.session Z:T C:ROLLBACK S:limedyke.session Z:I |
      | read-only made writable    | Q begin read only / Q set transaction read write | read        | C:BEGIN Z:T E:0A000 Z:E |
      | read-only set writable     | Q begin read only / Q set transaction_read_only = off | read   | C:BEGIN Z:T E:0A000 Z:E |
      | begin refused              | Q begin refuse(3002) / Q select 1          | write read        | E:57P03 Z:I T D:select 1 C:SELECT 1 Z:I |
      | write of unknown outcome   | Q delete refuse(3001)                      | write             | E:40003 S:limedyke.session Z:I |
      | read of unknown outcome    | Q select 'refuse(3001)'                    | read              | E:57P01 Z:I             |
      | two-phase commit           | Q begin / Q prepare transaction 'x'        | write             | C:BEGIN Z:T E:0A000 Z:E |

    Examples: violations
      | case                       | messages                         | units       | answer            |
      | unknown message            | y                                | none        | E:08P01           |
      | password out of order      | p                                | none        | E:08P01           |
      | query inside a batch       | P : select 1 / Q select 1        | none        | E:08P01           |
      | copy data outside of COPY  | d / c / Q select 1               | read        | T D:select 1 C:SELECT 1 Z:I |

  Scenario Outline: client: SQL PREPARE: <case>
    When client: the client sends <messages>
    Then client: the client receives <answer>

    Examples:
      | case        | messages                                                  | answer |
      | prepared    | Q prepare s (int) as select $1                            | C:PREPARE Z:I |
      | wrong       | Q prepare s as fail / Q execute s                         | E:42601 Z:I E:26000 Z:I |
      | odd type    | Q prepare s (money) as select $1                          | E:0A000 Z:I |
      | unknown     | Q execute s                                               | E:26000 Z:I |
      | twice       | Q prepare s as select 1 / Q prepare s as select 2         | C:PREPARE Z:I E:42P05 Z:I |

  Scenario: client: the proxy renames a named statement for the back end
    When client: the client sends P s: select 1 / B s / E / S
    Then client: the last unit binds each statement by its back-end name
    And client: the last unit contains no message P

  Scenario: client: the transaction of a client that disconnects is rolled back
    When client: the client sends Q begin / X
    Then client: transactions abandoned: 1
    And client: the connection is closed

  Scenario: client: an idle transaction is rolled back and its connection is closed
    When client: the client sends Q begin
    And client: 61 seconds pass
    Then client: the client receives E:25P03
    And client: transactions abandoned: 1
    And client: the connection is closed

  Scenario: client: the end of another unit is ignored
    When client: the client sends Q begin
    And client: an answer for another unit arrives
    Then client: the client receives nothing

  Scenario Outline: client: asked to leave <when>
    When client: the client sends <messages>
    And client: <pause> ms pass
    And client: the session is asked to leave
    Then client: the client receives nothing
    When client: 200 ms pass
    And client: the session is asked to leave
    Then client: the client receives <answer>

    Examples:
      | when                        | messages                    | pause | answer  |
      | when idle                   | Q select 1                  | 800   | E:57P01 |
      | right behind an answer      | Q select 1                  | 0     | nothing |
      | soon behind an answer       | Q select 1                  | 799   | nothing |
      | in a transaction            | Q begin                     | 800   | nothing |
      | after a lost one            | Q begin / Q delete refuse(2004) | 800 | E:57P01 |
      | in half a batch             | P : select 1                | 800   | nothing |

  Scenario Outline: client: a session asked to leave ends with its transaction: <case>
    When client: the client sends <work>
    And client: the session is asked to leave
    And client: the client sends <end>
    Then client: the client receives <answer>
    When client: <pause> ms pass
    And client: the session is asked to leave
    Then client: the client receives E:57P01
    And client: the connection is closed

    Examples:
      | case            | work                       | end        | answer                              | pause |
      | written         | Q begin / Q delete from a  | Q commit   | C:COMMIT S:limedyke.session Z:I     | 1000  |
      | nothing written | Q begin / Q select 1       | Q commit   | C:COMMIT Z:I                        | 1000  |
      | rolled back     | Q begin / Q delete from a  | Q rollback | C:ROLLBACK Z:I                      | 1000  |
      | failed          | Q begin / Q select fail    | Q rollback | C:ROLLBACK Z:I                      | 1000  |
      | half a batch    | P : delete from a          | B / E / S  | 1 2 C:DELETE S:limedyke.session Z:I | 1000  |

  Scenario Outline: client: a session asked to leave rejects its next request: <case>
    When client: the client sends <work>
    And client: the session is asked to leave
    And client: 200 ms pass
    And client: the client sends <next>
    Then client: the client receives E:57P01
    And client: the connection is closed
    And client: the units were <units>

    Examples:
      | case               | work                            | next                      | units       |
      | a query            | Q select 1                      | Q select 2                | read        |
      | pipelined queries  | Q select 1                      | Q select 2 / Q select 3   | read        |
      | a batch            | Q select 1                      | P : select 2 / B / E / S  | read        |
      | a transaction      | Q begin / Q commit              | Q begin                   | write write |
      | behind a lost one  | Q begin / Q delete refuse(2004) | Q rollback                | write write |

  Scenario: client: a request in transit when the session is asked to leave is served
    When client: the client sends Q select 1
    And client: the session is asked to leave
    And client: 199 ms pass
    And client: the client sends Q select 2
    Then client: the client receives T D:select 2 C:SELECT 1 Z:I
