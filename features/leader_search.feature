Feature: The order and the pauses in which a proxy dials the controllers
  Pauses grow with each round of all controllers, not with each refusal. When they grew with each refusal, a proxy that
  was refused by loading controllers after a power loss paused for a quarter of a second after two rounds. The other
  proxies were linked 0.1 s after the election, but the leader grants no lease before every proxy has reported its own.

  Scenario: leader search: controllers that are still loading are dialled again soon
    Given leader search: 5 controllers, pauses of up to 250 ms
    When leader search: each of them refuses a proxy for 450 ms, and answers it after that
    Then leader search: the proxy asks again within 60 ms of that, with each of 50 seeds

  Scenario: leader search: a proxy that finds no leader for long dials rarely
    Given leader search: 5 controllers, pauses of up to 250 ms
    When leader search: each of them refuses a proxy for 10000 ms, and answers it after that
    Then leader search: its last pauses were 125 ms to 250 ms long, with each of 50 seeds

  Scenario: leader search: the leader that a controller names is dialled next
    Given leader search: 5 controllers, pauses of up to 250 ms
    When leader search: a proxy that was refused 12 times learns that 10.0.0.4:1 leads
    Then leader search: it asks 10.0.0.4:1 next, after a pause of 20 ms or less
