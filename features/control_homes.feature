Feature: Home proxies of groups
  Every process computes the same home proxies from the same membership.

  Scenario: homes: kept up to date by changes, they are what is computed from nothing
    Then homes: in 200 random histories of joining, leaving and silent proxies both agree

  Scenario: homes: a controller that follows the log has what a whole state gives
    Then homes: 200 random updates one after the other give what their whole gives

  Scenario Outline: homes: how duty is spread
    Given homes: <proxies> proxies in <zones> zones, and <groups> groups with <count> home proxies
    Then homes: each group has <homes> home proxies in <spread> zones
    And homes: no proxy has more than <most> times the mean duty

    Examples:
      | proxies | zones | groups | count | homes | spread | most |
      | 60      | 6     | 900    | 3     | 3     | 3      | 1.8  |
      | 60      | 2     | 900    | 3     | 3     | 2      | 1.8  |
      | 2       | 1     | 50     | 3     | 2     | 1      | 1.0  |
      | 0       | 1     | 50     | 3     | 0     | 0      | 1.0  |

  Scenario Outline: homes: a change moves little
    Given homes: 60 proxies in 6 zones, and 900 groups with 3 home proxies
    When homes: <event>
    Then homes: at most <share> % of the duties have moved

    Examples:
      | event                    | share |
      | a proxy joins            | 4     |
      | a proxy is silent        | 4     |
      | a zone is silent         | 35    |
      | a proxy restarts at once | 0     |

  Scenario: homes: each change costs a leader at the size aimed for a short moment
    Given homes: 850 proxies in 6 zones, and 1800 groups with 3 home proxies
    Then homes: a joining proxy is weighed with at most one score for a group, and few rankings

  Scenario Outline: homes: few connections make few home proxies
    Given homes: 60 proxies in 6 zones, and 1 groups with <count> home proxies
    When homes: the group's members take <connections> connections each
    Then homes: each group has <homes> home proxies in <spread> zones

    Examples:
      | count | connections | homes | spread |
      | 12    | 0           | 12    | 6      |
      | 12    | 100         | 12    | 6      |
      | 12    | 40          | 6     | 6      |
      | 12    | 10          | 3     | 3      |
      | 2     | 10          | 2     | 2      |
