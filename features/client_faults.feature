Feature: client: the answers to a broken or hostile client, on the wire

  Scenario Outline: client: a first packet: <case>
    When client: a connection sends <bytes>
    Then client: it is refused with <sqlstate> and <code>
    And client: the proxy closes it
    And client: another client is served

    Examples:
      | case                        | bytes                      | sqlstate | code   |
      | of no length                | length 0                   | 08P01    | LD1001 |
      | shorter than its header     | length 7                   | 08P01    | LD1001 |
      | longer than allowed         | length 10001               | 08P01    | LD1001 |
      | of a huge length            | length 4294967295          | 08P01    | LD1001 |
      | of another protocol         | text GET / HTTP/1.1        | 08P01    | LD1001 |
      | of protocol version 2       | version 131072             | 0A000    | LD1008 |
      | without its terminator      | unterminated               | 08P01    | LD1001 |
      | not in UTF-8                | not-utf8                   | 08P01    | LD1001 |
      | with half a pair            | odd                        | 08P01    | LD1001 |
      | without a user              | startup database=acme/main | 08P01    | LD1001 |
      | for replication             | startup user=app replication=true | 0A000 | LD1008 |
      | with broken options         | startup user=app options=-x | 08P01   | LD1001 |
      | with data behind it         | startup-and-more           | 08P01    | LD1001 |
      | TLS asked, data behind it   | tls-and-more               | 08P01    | LD1001 |
      | GSSAPI asked twice          | gss-twice                  | 08P01    | LD1001 |
      | a database without a group  | startup user=app database=acme | 28000 | LD1004 |
      | half, and then silence      | half                       | 08006    | LD1003 |
      | nothing at all              | nothing                    | 08006    | LD1003 |

  Scenario Outline: client: a password exchange: <case>
    When client: a connection starts and sends <bytes> for its password
    Then client: it is refused with <sqlstate> and <code>
    And client: the proxy closes it
    And client: another client is served

    Examples:
      | case                      | bytes             | sqlstate | code   |
      | a query in its place      | query             | 08P01    | LD1001 |
      | another mechanism         | mechanism         | 08P01    | LD1001 |
      | a length that lies        | wrong-length      | 08P01    | LD1001 |
      | no SCRAM message          | garbage           | 28P01    | LD1005 |
      | not in UTF-8              | not-utf8          | 28P01    | LD1005 |
      | channel binding           | binding           | 28P01    | LD1005 |
      | larger than allowed       | oversized         | 54000    | LD1002 |
      | data behind it            | and-more          | 08P01    | LD1001 |
      | half, and then silence    | half              | 08006    | LD1003 |

  Scenario Outline: client: a login: <case>
    When client: <user> logs in to <database> with <password> and <settings>
    Then client: it is refused with <sqlstate> and <code>
    And client: the proxy closes it
    And client: another client is served

    Examples:
      | case              | user    | database     | password | settings                        | sqlstate | code   |
      | wrong password    | app     | acme/main    | wrong    | no settings                     | 28P01    | LD1005 |
      | unknown user      | nobody  | acme/main    | secret   | no settings                     | 28P01    | LD1005 |
      | unknown tenant    | app     | umbrella/main | secret  | no settings                     | 28P01    | LD1005 |
      | unknown group     | app     | acme/other   | secret   | no settings                     | 28P01    | LD1005 |
      | a group's group   | app     | acme/main/x  | secret   | no settings                     | 28P01    | LD1005 |
      | odd encoding      | app     | acme/main    | secret   | client_encoding=SJIS            | 0A000    | LD1008 |
      | other strings     | app     | acme/main    | secret   | standard_conforming_strings=off | 0A000    | LD1008 |
      | other identity    | app     | acme/main    | secret   | session_authorization=postgres  | 0A000    | LD1008 |
      | forged token      | app     | acme/main    | secret   | limedyke.session=AAAA           | 28000    | LD2001 |
      | unknown setting   | app     | acme/main    | secret   | limedyke.speed=1                | 42704    | none   |
      | invalid setting   | app     | acme/main    | secret   | limedyke.route=moon             | 22023    | none   |

  Scenario: client: the answer to a refused login does not show whether the user exists
    Then client: app and nobody are refused in the same words and messages

  Scenario Outline: client: after the login: <case>
    When client: a logged-in connection sends <bytes>
    Then client: it is refused with <sqlstate> and <code>
    And client: the proxy closes it
    And client: another client is served

    Examples:
      | case                        | bytes              | sqlstate | code   |
      | a length below four         | short              | 08P01    | LD1001 |
      | a length above the limit    | long               | 54000    | LD1002 |
      | an unknown message          | unknown            | 08P01    | LD1001 |
      | a query without its end     | unterminated       | 08P01    | LD1001 |
      | Parse without its types     | parse              | 08P01    | LD1001 |
      | Bind without a statement    | bind               | 08P01    | LD1001 |
      | Describe of nothing         | describe           | 08P01    | LD1001 |
      | Execute without a limit     | execute            | 08P01    | LD1001 |
      | Close of an unknown kind    | close              | 08P01    | LD1001 |
      | a batch above the limit     | batch              | 54000    | LD1002 |

  Scenario Outline: client: the state of a session is limited: <case>
    When client: a logged-in connection adds <what> until it is refused
    Then client: it was refused with 53400 before <count>
    And client: the session still answers

    Examples:
      | case                      | what                       | count |
      | many prepared statements  | prepared statements        | 2001  |
      | large prepared statements | large prepared statements  | 6     |
      | settings                  | settings                   | 80    |

  Scenario: client: a tenant's clients above its limit are refused, other tenants' clients are not
    When client: 4 clients of rival log in
    Then client: the last one is refused with 53300 and LD1006
    And client: another client is served

  Scenario: client: a cancel request stops only the statement of its own session
    When client: two sessions run paused statements
    And client: the first is cancelled
    Then client: the first gets 57014 and the second its own answer

  Scenario Outline: client: a cancel request with <case> stops nothing
    When client: two sessions run paused statements
    And client: a cancel request with <case> arrives
    Then client: both sessions get their own answers

    Examples:
      | case            |
      | a wrong secret  |
      | a wrong process |
      | a wrong size    |

  Scenario: client: the transaction of a client that disconnects during a statement is abandoned
    When client: a session runs a paused statement in a transaction and disconnects
    Then client: its transaction is abandoned

  Scenario: client: a client that reads no answers is disconnected and delays no other client
    When client: a session sends requests and reads no answers
    Then client: another client is served
    And client: the stalled session is disconnected
