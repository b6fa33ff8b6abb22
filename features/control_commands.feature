@fleet
Feature: The operator's commands: refusals, errors and exit statuses

  Background:
    Given operators: three controllers and a proxy
    And operators: a plan waits

  Scenario Outline: operators: refused commands
    When operators: "<command>" is run as <operator>
    Then operators: the command exits with <status> and shows "<text>"
    And operators: nothing has changed

    Examples: who asks
      | command              | operator  | status | text                    |
      | status               | carl      | 1      | LD4006                  |
      | status               | anna-bad  | 1      | LD4006                  |
      | confirm PLAN         | anna-bad  | 1      | LD4006                  |
      | status --output=json | carl      | 1      | "code": "LD4006"        |
      | status               | anna-none | 2      | operator-anna-none.yaml |
      | status               | anna-key  | 2      | secret: lost-key is not |

    Examples: the command line
      | command                             | operator | status | text                    |
      | confirm PLAN --outptu=json          | anna     | 2      | Could not consume arg   |
      | confirm PLAN s json mine more       | anna     | 2      | Could not consume arg   |
      | confirm                             | anna     | 2      | plan_id                 |
      | history --limit=many                | anna     | 2      | expected a whole number |
      | status --output=xml                 | anna     | 2      | expected text or json   |
      | plan                                | anna     | 2      | name at least one file  |

    Examples: what is asked for
      | command                                    | operator | status | text                   |
      | confirm p0123456789abcdef                  | anna     | 1      | LD4003                 |
      | confirm 1234567890123456                   | anna     | 1      | Plan 1234567890123456. |
      | confirm 123456789e123456                   | anna     | 1      | Plan 123456789e123456. |
      | plan WRONG                                 | anna     | 2      | wrong.yaml:3: tenants  |
      | plan RIGHT --base_revision=7               | anna     | 1      | LD4005                 |
      | plan RIGHT --base_revision=7 --output=json | anna     | 1      | "revision": 0          |
      | switchover g1 --yes                        | anna     | 1      | LD3002                 |
      | drain p9                                   | anna     | 2      | proxy p9 is not known  |
      | drain g1/m1                                | anna     | 2      | g1/m1 is not known     |
      | controller remove c9 --yes                 | anna     | 1      | c9 is no member        |
      | controller replace c9                      | anna     | 1      | c9 is no learner       |

  Scenario Outline: operators: an unreachable controller is skipped
    Given operators: the first address in the settings of <operator> <state>
    When operators: "status" is run as <operator>
    Then operators: the command exits with <status> and shows "<text>"

    Examples:
      | operator   | state                             | status | text          |
      | anna-reset | closes each connection at once    | 0      | proxies linked |
      | anna-gone  | is not listened to                | 0      | proxies linked |
      | bert-reset | closes each connection at once    | 1      | LD4006        |

  Scenario Outline: operators: other peers can't use the operator interface
    When operators: <who> speaks to the leader
    Then operators: it gets no answer
    And operators: nothing has changed

    Examples:
      | who                               |
      | a tenant's PostgreSQL client      |
      | a proxy that confirms a plan      |
      | a proxy that calls itself anna    |

  Scenario Outline: operators: commands that need no controller
    When operators: "<command>" is run without settings
    Then operators: the command exits with <status> and shows "<text>"

    Examples:
      | command                   | status | text                    |
      | --version                 | 0      | limedyke 0.             |
      | --help                    | 0      | usage: limedyke COMMAND |
      | confirm --help            | 0      | Bring a plan into force |
      | controller replace --help | 0      | take the place of       |
      | cnfirm                    | 2      | unknown command cnfirm  |
