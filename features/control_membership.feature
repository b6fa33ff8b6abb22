Feature: Membership of proxies
  A proxy's state follows from its own messages; the platform's list only shortens the suspicion timeout.

  Scenario Outline: membership: how the state of a proxy changes
    Given membership: a serving proxy with leases of 30 s
    When membership: the platform lists it as <listed>
    And membership: it <does> for <seconds> s
    Then membership: it is <state>

    Examples: silence
      | listed | does           | seconds | state     |
      | live   | falls silent   | 4.5     | serving   |
      | live   | falls silent   | 6       | suspected |
      | live   | falls silent   | 30.5    | suspected |
      | live   | falls silent   | 32      | forgotten |
      | live   | loses its link | 4.5     | serving   |
      | live   | loses its link | 6       | suspected |
      | live   | stays alive    | 40      | serving   |

    Examples: the list may be outdated, and neither removes nor keeps a proxy
      | listed  | does         | seconds | state     |
      | leaving | stays alive  | 40      | serving   |
      | leaving | falls silent | 1.5     | serving   |
      | leaving | falls silent | 3       | suspected |
      | leaving | falls silent | 30.5    | suspected |
      | live    | falls silent | 40      | forgotten |

    Examples: messages of the proxy itself
      | listed | does        | seconds | state     |
      | live   | drains      | 1       | draining  |
      | live   | has drained | 1       | forgotten |

  Scenario Outline: membership: a suspected proxy reconnects
    Given membership: a serving proxy with leases of 30 s
    When membership: it falls silent for <seconds> s
    And membership: it reconnects <how>
    Then membership: it is <state>

    Examples:
      | seconds | how                  | state     |
      | 6       | as the same process  | serving   |
      | 6       | as a later process   | serving   |
      | 6       | from another machine | suspected |
      | 32      | from another machine | serving   |

  Scenario Outline: membership: hundreds of proxies that start at once are recorded in batches, <groups> groups
    When membership: 850 proxies connect within one decision, with <groups> groups declared
    Then membership: within <seconds> s all are recorded, by entries of at most 64, <apart> s apart

    Examples: more groups make the batches less frequent
      | groups | seconds | apart |
      | 1800   | 3       | 0.2   |
      | 3      | 0.3     | 0.02  |

  Scenario: membership: changes that take proxies out of service are recorded first
    When membership: 200 proxies connect and then 10 others are silent
    Then membership: the next entry names the silent ones

  Scenario Outline: membership: the platform's list
    Then membership: the list <body> names <leaving> as leaving

    Examples:
      | body                                                         | leaving |
      | [{"name":"a","state":"leaving"},{"name":"b","state":"live"}] | a       |
      | []                                                           | nobody  |
      | [{"name":"a","state":"gone"}]                                | nobody  |

  Scenario Outline: membership: an invalid list is refused
    Then membership: the list <body> is refused

    Examples:
      | body                  |
      | not JSON              |
      | {"name":"a"}          |
      | [{"state":"leaving"}] |
      | ["a"]                 |
      | [null]                |
      | 7                     |
