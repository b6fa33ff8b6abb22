Feature: A proxy and the controllers
  A proxy uses only a leader with a live quorum, and only state that its disk keeps.

  Scenario Outline: proxies: which controller a proxy uses
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy starts with the present state on its disk and finds c1 first
    Then proxies: it is with c2 within 3 s, and has never gone back

    Examples:
      | script                                   |
      | answers with a stamp that stands still   |
      | answers with a stamp of an older term    |
      | answers no heartbeat                     |
      | says that the other leads                |
      | refuses the proxy for a while            |
      | sends an older snapshot                  |
      | sends an update that does not follow     |
      | grants leases after they have run out    |
      | does not run                             |

  Scenario Outline: proxies: a controller that <script> holds up nobody
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy starts with the present state on its disk and finds c1 first
    Then proxies: it was with c2 within 400 ms, and has left nothing open at c1

    Examples:
      | script                       |
      | takes connections and hangs  |
      | hangs after the hello        |
      | refuses the proxy for a long while |

  Scenario Outline: proxies: it stays where all is well, and would stay wrongly without the limit
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with a silence limit of <limit> ms finds c1 first
    Then proxies: it is with <controller> after 1 s

    Examples:
      | script                                 | limit | controller |
      | leads                                  | 300   | c1         |
      | answers with a stamp that stands still | 300   | c2         |
      | answers with a stamp that stands still | 60000 | c1         |
      | answers no heartbeat                   | 60000 | c1         |

  Scenario Outline: proxies: one with something urgent to say leaves a silent leader sooner
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with a silence limit of 60000 ms finds c1 first, and <reports> there
    Then proxies: it is with <controller> after 2 s

    Examples:
      | script       | reports                     | controller |
      | falls silent | reports a member            | c2         |
      | falls silent | reports nothing             | c1         |
      | leads        | reports a member            | c1         |

  Scenario: proxies: one whose leases ran out on an open link tells the leader
    Given proxies: a controller c1 that lets leases run out, and a controller c2 that leads
    When proxies: a proxy with a silence limit of 60000 ms finds c1 first, and reports nothing there
    Then proxies: it has left c1 since, having been granted leases there

  Scenario Outline: proxies: when an unanswered report is the reason to leave
    Then proxies: after "<events>" the leader may be silent for <seconds> s

    Examples:
      | events                                   | seconds |
      |                                          | inf     |
      | 0 report                                 | 1       |
      | 0 report, 0.5 report                     | 0.5     |
      | 0 report, 0.5 heard                      | inf     |
      | 0 report, 0.5 heard, 0.7 report          | 1       |
      | 0 report, 1 left, 2 report               | inf     |
      | 0 report, 1 left, 2 report, 10.5 report  | inf     |
      | 0 report, 1 left, 11.5 report            | 1       |

  Scenario Outline: proxies: what it uses is on its disk, whenever it crashes
    Given proxies: a proxy with <disk>
    When proxies: it takes a snapshot at 20 and updates up to <last>, and may crash at each
    Then proxies: the disk always held <verdict>

    Examples:
      | disk                             | last | verdict            |
      | a disk that syncs                | 30   | what was in force  |
      | a disk that syncs                | 300  | what was in force  |
      | a store that writes nothing      | 30   | less than that     |
      | a store that syncs after its use | 30   | less than that     |

  Scenario Outline: proxies: one that lost its disk puts nothing old in force
    Given proxies: a controller c1 that <script>, and a controller c2 that leads
    When proxies: a proxy with an empty disk finds c1 first
    Then proxies: it puts <indexes> in force, and its disk then holds 20

    Examples:
      | script                                          | indexes   |
      | leads                                           | 20        |
      | sends a kept snapshot and what follows          | 20        |
      | breaks off after a kept snapshot                | 20        |
      | sends a kept snapshot as if it were the newest  | 12 and 20 |

  Scenario Outline: proxies: a restart never goes back
    Given proxies: a proxy accepted a snapshot at 20 and updates up to 25
    When proxies: its journal <damage>
    Then proxies: a restart <outcome>

    Examples:
      | damage                              | outcome                                    |
      | is whole                            | uses 25 at once, and asks from 25          |
      | lost the last byte                  | uses nothing yet, and asks from 24         |
      | lost the whole last frame but 1 byte| uses nothing yet, and asks from 24         |
      | has a flipped bit in its last frame | uses nothing yet, and asks from 24         |
      | has a flipped bit in its snapshot   | uses nothing yet, and asks from 0          |
      | is gone                             | uses nothing yet, and asks from 0          |
      | has a half-written successor        | uses 25 at once, and asks from 25          |

  Scenario: proxies: an incarnation grows with each start, and a folder keeps its id
    Then proxies: 5 starts on one folder have rising incarnations and one id
    And proxies: a second process on the folder is refused
    And proxies: another folder has another id

  Scenario Outline: proxies: an order to drain is followed only when the leader confirms it
    Given proxies: a proxy whose disk says that it drains
    When proxies: it starts and <event>
    Then proxies: the order is <verdict>

    Examples:
      | event                                | verdict       |
      | hears no controller                  | not confirmed |
      | hears that its state is the present  | confirmed     |
