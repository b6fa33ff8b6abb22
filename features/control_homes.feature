Feature: Home proxies of groups
  All processes compute the same home proxies from the same membership.

  Scenario: homes: incremental updates give the same result as a full computation
    Then homes: both agree in 200 random histories of joining, leaving and silent proxies

  Scenario: homes: a controller that follows the log has the same result as one with a snapshot
    Then homes: 200 random updates give the same result as the final state

  Scenario Outline: homes: how home duty is distributed
    Given homes: <proxies> proxies in <zones> zones, and <groups> groups with <count> home proxies
    Then homes: each group has <homes> home proxies in <spread> zones
    And homes: no proxy has more than <most> times the mean duty

    Examples:
      | proxies | zones | groups | count | homes | spread | most |
      | 60      | 6     | 900    | 3     | 3     | 3      | 1.8  |
      | 60      | 2     | 900    | 3     | 3     | 2      | 1.8  |
      | 2       | 1     | 50     | 3     | 2     | 1      | 1.0  |
      | 0       | 1     | 50     | 3     | 0     | 0      | 1.0  |

  Scenario Outline: homes: a change moves few duties
    Given homes: 60 proxies in 6 zones, and 900 groups with 3 home proxies
    When homes: <event>
    Then homes: at most <share> % of the duties have moved

    Examples:
      | event                    | share |
      | a proxy joins            | 4     |
      | a proxy is silent        | 4     |
      | a zone is silent         | 35    |
      | a proxy restarts at once | 0     |

  Scenario: homes: at the target size each change costs a leader little
    Given homes: 850 proxies in 6 zones, and 1800 groups with 3 home proxies
    Then homes: a joining proxy costs at most one score for a group, and few rankings

  Scenario Outline: homes: groups with few connections have few home proxies
    Given homes: 60 proxies in 6 zones, and 1 groups with <count> home proxies
    When homes: the group's members accept <connections> connections each
    Then homes: each group has <homes> home proxies in <spread> zones

    Examples:
      | count | connections | homes | spread |
      | 12    | 0           | 12    | 6      |
      | 12    | 100         | 12    | 6      |
      | 12    | 40          | 6     | 6      |
      | 12    | 10          | 3     | 3      |
      | 2     | 10          | 2     | 2      |
