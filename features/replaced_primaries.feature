@fleet
Feature: A member that was replaced as the primary is read as such only once it leads again
  Real controllers and proxies, and a primary database. One member after the other leads; clients write and read all the
  time. docs/design/promotion-claims.md describes the rules.

  # A member that was replaced while it could reach no controller was recorded as the primary as soon as it was to be
  # promoted again. Until it led, reads of the primary ran on its old log, and the two members replaced each other.
  Scenario Outline: replaced primaries: a member that leads again is not read as the primary before: <trouble>
    Given replaced primaries: a group of three members, and clients that write and read
    When replaced primaries: the primary crashes, and a second member leads
    And replaced primaries: the second member is cut off until the third one leads
    And replaced primaries: proxies reach the second member again, which lags by <lag> ms
    And replaced primaries: <trouble>
    Then replaced primaries: the second member leads again within <limit> s
    And replaced primaries: writes and reads are served within 3 s
    And replaced primaries: no read of the last 12 s lacked an acknowledged commit
    And replaced primaries: <count> calls were accepted, as a new leader has to repeat the last one

    Examples:
      | lag  | limit | count | trouble                                                                          |
      | 6000 | 6     | 3     | no proxy reaches the third member any more                                       |
      | 0    | 6     | 3     | no proxy reaches the third member any more                                       |
      | 6000 | 6     | 3     | no proxy reaches the third member, and an announcement of the second one arrives late |
      | 6000 | 12    | 3     | no proxy reaches the third member, and the call is carried out late without an answer |
      | 6000 | 10    | 4     | no proxy reaches the third member, and the leading controller is killed by the call   |
      | 6000 | 6     | 3     | the third member crashes                                                         |
