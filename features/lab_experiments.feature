Feature: Experiment results and settings
  Results can be compared between runs, a violation fails a run, and every experiment has settings.

  Scenario Outline: experiments: a nonzero <value> fails a run
    Given experiments: a result of variant "<variant>" with <value> 1
    Then experiments: the run counts <count> violations

    Examples:
      | variant                 | value              | count |
      | limedyke lag=20ms       | stale_reads        | 1     |
      | limedyke lag=20ms       | other_violations   | 1     |
      | kill                    | violations         | 1     |
      | proxy stops             | cut_or_failed      | 1     |
      | member stops            | late_work          | 1     |
      | changes                 | went_back          | 1     |
      | races                   | races_with_more    | 1     |
      | random-member lag=20ms  | stale_reads        | 0     |
      | limedyke lag=20ms       | replica_read_share | 0     |

  Scenario: experiments: results are compared with those of an earlier commit
    Given experiments: a result of variant "kill" with gap_p50_ms 900
    And experiments: it was written to a file
    When experiments: a later run has gap_p50_ms 450
    Then experiments: the comparison says "failover ostmark kill gap_p50_ms: 900 -> 450 (-50%)"

  Scenario: experiments: an unknown name is refused
    When experiments: the experiment "no-such-experiment" is run
    Then experiments: the exit code is 2

  Scenario: experiments: the main measures are printed
    Given experiments: a result of the experiment "replica-reads" with its measures
    Then experiments: the measures are "measure replica-reads ostmark limedyke lag=20ms: replica_read_share=0.95 of_ceiling=0.99 stale_reads=0"

  Scenario Outline: experiments: the benchmark shortens <name> only while it runs
    Then experiments: the benchmark settings of <name> are valid and differ from its own
    And experiments: the settings of <name> outside the benchmark are its own

    Examples:
      | name          |
      | replica-reads |
      | failover      |
      | noisy-tenant  |
      | drain         |
      | config-storm  |
      | overhead      |
