Feature: A proxy's connection to the controllers
  A proxy uses only a leader with a live quorum, and only state that is synced to its disk.

  Scenario Outline: proxies: which controller a proxy uses
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy starts with the current state on its disk and finds c1 first
    Then proxies: it is connected to c2 within 3 s, and has never used an older state

    Examples:
      | script                                     |
      | answers with a stamp that does not advance |
      | answers with a stamp of an older term      |
      | answers no heartbeat                       |
      | redirects to the other controller          |
      | refuses the proxy for a while              |
      | sends an older snapshot                    |
      | sends an update that does not follow       |
      | grants leases after they have expired      |
      | does not run                               |

  Scenario Outline: proxies: a controller that <script> does not delay the proxy
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy starts with the current state on its disk and finds c1 first
    Then proxies: it was connected to c2 within 400 ms, and has left no link open at c1

    Examples:
      | script                             |
      | takes connections and hangs        |
      | hangs after the hello              |
      | refuses the proxy for a long while |

  Scenario Outline: proxies: it leaves a controller without a live quorum, because of the silence limit
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with a silence limit of <limit> ms finds c1 first
    Then proxies: it is connected to <controller> after 1 s

    Examples:
      | script                                     | limit | controller |
      | leads                                      | 300   | c1         |
      | answers with a stamp that does not advance | 300   | c2         |
      | answers with a stamp that does not advance | 60000 | c1         |
      | answers no heartbeat                       | 60000 | c1         |

  Scenario Outline: proxies: a proxy with an unanswered report leaves a silent leader sooner
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with a silence limit of 60000 ms finds c1 first, and <reports> there
    Then proxies: it is connected to <controller> after 2 s

    Examples:
      | script       | reports          | controller |
      | falls silent | reports a member | c2         |
      | falls silent | reports nothing  | c1         |
      | leads        | reports a member | c1         |

  Scenario: proxies: a proxy whose leases expire on an open link reconnects
    Given proxies: a controller c1 that lets leases expire, and a controller c2 that leads
    When proxies: a proxy with a silence limit of 60000 ms finds c1 first, and reports nothing there
    Then proxies: it has left c1 after leases were granted there

  Scenario Outline: proxies: when an unanswered report is a reason to leave
    Then proxies: after "<events>" the leader may be silent for <seconds> s

    Examples:
      | events                                     | seconds |
      |                                            | inf     |
      | 0 report                                   | 1       |
      | 0 report, 0.5 report                       | 0.5     |
      | 0 report, 0.5 heard                        | inf     |
      | 0 report, 0.5 heard, 0.7 report            | 1       |
      | 0 report, 0.1 heard-earlier                | 0.9     |
      | 0 report, 0.1 report, 0.2 heard            | 1       |
      | 0 report, 0.1 report, 0.2 heard, 0.3 heard | inf     |
      | 0 report, 1 left, 2 report                 | inf     |
      | 0 report, 1 left, 2 report, 10.5 report    | inf     |
      | 0 report, 1 left, 11.5 report              | 1       |

  Scenario Outline: proxies: state in force is on disk, whenever the proxy crashes
    Given proxies: a proxy with <disk>
    When proxies: it takes a snapshot at 20 and updates up to <last>, and may crash at each
    Then proxies: the disk always held <verdict>

    Examples:
      | disk                              | last | verdict            |
      | a disk that syncs                 | 30   | the state in force |
      | a disk that syncs                 | 300  | the state in force |
      | a store that writes nothing       | 30   | an older state     |
      | a store that syncs after applying | 30   | an older state     |

  Scenario Outline: proxies: a proxy that lost its disk applies no outdated state
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with an empty disk finds c1 first
    Then proxies: it applies <indexes>, and its disk then holds 20

    Examples:
      | script                                         | indexes   |
      | leads                                          | 20        |
      | sends a kept snapshot and what follows         | 20        |
      | breaks off after a kept snapshot               | 20        |
      | sends a kept snapshot as if it were the newest | 12 and 20 |

  Scenario Outline: proxies: a restart never uses an older state
    Given proxies: a proxy accepted a snapshot at 20 and updates up to 25
    When proxies: its journal <damage>
    Then proxies: a restart <outcome>

    Examples:
      | damage                               | outcome                               |
      | is whole                             | uses 25 immediately, and asks from 25 |
      | lost the last byte                   | uses nothing yet, and asks from 24    |
      | lost the whole last frame but 1 byte | uses nothing yet, and asks from 24    |
      | has a flipped bit in its last frame  | uses nothing yet, and asks from 24    |
      | has a flipped bit in its snapshot    | uses nothing yet, and asks from 0     |
      | is gone                              | uses nothing yet, and asks from 0     |
      | has a partially written replacement  | uses 25 immediately, and asks from 25 |

  Scenario: proxies: the incarnation increases with each start, and a folder keeps its id
    Then proxies: 5 starts on one folder have increasing incarnations and one id
    And proxies: a second process on the folder is refused
    And proxies: another folder has another id

  Scenario Outline: proxies: a stored order to drain is followed only once the leader confirms it
    Given proxies: a proxy whose stored state orders it to drain
    When proxies: it starts and <event>
    Then proxies: the order is <verdict>

    Examples:
      | event                            | verdict       |
      | reaches no controller            | not confirmed |
      | learns that its state is current | confirmed     |
