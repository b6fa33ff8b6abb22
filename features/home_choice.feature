Feature: A proxy chooses a home proxy by distance and by its reported wait
  68 proxies in six zones of three regions send to nine home proxies with six connections each, which serve a unit in
  30 ms, so 200 a second each. Clients move from one region to another within seconds. A proxy knows only the waits in
  the answers to its own units, which are older by the network delay.

  Scenario Outline: home choice: <load>
    Given home choice: 68 proxies and nine home proxies
    When home choice: for 2 s region r1 sends <first> units a second, and r2 and r3 <others> each
    And home choice: for 2 s region r1 sends <then> units a second, and r2 and r3 <others_then> each
    Then home choice: <percent> % of the last second's units waited less than <wait> ms at their home proxy
    And home choice: at most <away> % of them went to another region
    And home choice: no home proxy's queue swings by more than <swing> units within 0.3 s

    Examples:
      | load                                   | first | others | then | others_then | percent | wait | away | swing |
      | steady load                            | 300   | 300    | 300  | 300         | 99      | 60   | 2    | 12    |
      | one region gets 1.5 times its capacity | 300   | 300    | 900  | 300         | 95      | 250  | 25   | 40    |
      | half of the work changes region        | 700   | 250    | 100  | 650         | 95      | 250  | 15   | 40    |
      | all are near their limit               | 560   | 560    | 560  | 560         | 95      | 250  | 15   | 40    |

  Scenario: home choice: queues oscillate if all units go to the best home proxy
    Given home choice: 68 proxies and nine home proxies
    And home choice: the safeguard "only a part moves" is off
    When home choice: for 2 s region r1 sends 300 units a second, and r2 and r3 300 each
    And home choice: for 2 s region r1 sends 900 units a second, and r2 and r3 300 each
    Then home choice: some home proxy's queue swings by more than 40 units within 0.3 s

  Scenario: home choice: a reported wait expires, by priority and kind of unit
    When home choice: h1 reported waits of "40 400" ms for writes and "10" ms for reads
    Then home choice: the expected wait at h1 is
      | after_ms | kind  | priority | wait_ms |
      | 0        | write | 0        | 40      |
      | 0        | write | 2        | 400     |
      | 250      | write | 1        | 200     |
      | 0        | read  | 2        | 10      |
      | 500      | write | 1        | 0       |
    When home choice: h1 reports no wait
    Then home choice: the expected wait at h1 is
      | after_ms | kind  | priority | wait_ms |
      | 0        | write | 1        | 0       |

  Scenario: home choice: a home proxy's own clients are served where connections of their tenant are open
    Given home choice: a home proxy with 3 connections, beside h1 and h2 in its region, and 12 tenants
    When home choice: a client of each tenant there writes 4 times in turn
    Then home choice: all are answered "done I"
    And home choice: each tenant's writes ran at one home proxy, and each home proxy ran some
    And home choice: no more than 24 connections to the primary were opened for 48 writes

  Scenario: home choice: without the other home proxies they are served locally
    Given home choice: a home proxy with 3 connections, beside h1 and h2 in its region, and 12 tenants
    And statement homes: h1 holds no lease
    And statement homes: h2 drains
    When home choice: a client of each tenant there writes 1 times in turn
    Then home choice: all are answered "done I"
