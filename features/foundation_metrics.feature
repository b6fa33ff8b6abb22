Feature: Metrics of the processes
  A metric that is never updated would tell operators that nothing happens.

  Scenario Outline: Every metric is counted somewhere in its process
    Then metrics: the code of a <process> uses each of its metrics

    Examples:
      | process    |
      | proxy      |
      | controller |

  Scenario: The operators' page names only metrics that exist
    Then metrics: each name in docs/OPERATING.md is exported by a process

  Scenario Outline: A leader counts what it hears and decides
    When metrics: a leader <does>
    Then metrics: "<sample>" is <value>

    Examples:
      | does                               | sample                                                           | value |
      | answers a heartbeat                | limedyke_controller_heartbeats_total                             | 1     |
      | hears that a member is unreachable | limedyke_controller_member_reports_total{health=unreachable}     | 1     |
      | orders a promotion                 | limedyke_controller_promotions_total{outcome=started}            | 1     |
      | hears of a promotion done          | limedyke_controller_promotions_total{outcome=done}               | 1     |
      | hears of a promotion failed        | limedyke_controller_promotions_total{outcome=failed}             | 1     |
      | grants a lease                     | limedyke_controller_lease_changes_total{kind=granted}            | 1     |
      | takes a lease back                 | limedyke_controller_lease_changes_total{kind=taken-back}         | 1     |
      | lets a proxy go whose leases ended | limedyke_controller_leases_expired_total                         | 1     |
      | lets a proxy go for another reason | limedyke_controller_leases_expired_total                         | 0     |
      | records a primary 2 s after a loss | limedyke_controller_promotion_seconds_sum                        | 2     |
      | records a first primary            | limedyke_controller_promotion_seconds_count                      | 0     |

  Scenario Outline: Pool counts become gauges and monotonic counters
    When metrics: the pools report as opened connections, in turn, <seen>
    Then metrics: "limedyke_proxy_backend_opened_total{result=ok}" is <total>

    Examples:
      | seen    | total |
      | 0       | 0     |
      | 3, 5    | 5     |
      | 5, 2, 4 | 7     |
