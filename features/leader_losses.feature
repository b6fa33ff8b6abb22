Feature: A leader that steps down logs why, and a leader counts the calls that it answers
  With 300 machines leaders kept stepping down. The log line "event=stepped-down term=7 reason=no-quorum" did not show
  which of three causes it was: voters that did not answer, a process without processor time, or a disk whose syncs took
  seconds. Nor did the log show which calls kept the leader busy.

  Scenario: leader losses: a leader that is cut off reports which voters were silent, and for how long
    Given leader losses: voters a b c of which a leads
    And leader losses: 3 changes are accepted
    When leader losses: a is cut off from the others, and proposes 2 more
    Then leader losses: it steps down for no-quorum
    And leader losses: it reports that b and c were silent for 0.9 to 1.3 s, and 2 entries behind
    And leader losses: it reports that rounds were sent after the last one that was confirmed

  Scenario: leader losses: calls are counted by kind and outcome, with a line each 5 s
    Given leader losses: the call counts of a leader
    When leader losses: calls "announce announce read declare" take 20 ms each, and a "read" fails
    Then leader losses: the metrics count 2 of announce and ok, and 1 of read and LD4001
    And leader losses: no line is written within 5 s
    When leader losses: 5 s pass, and a "read" is answered
    Then leader losses: one line says "announce/ok:2,declare/ok:1,read/LD4001:1,read/ok:2"
