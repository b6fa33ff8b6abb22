Feature: The HTTP server of calls keeps room for whoever calls
  At 300 machines no configuration was taken: members' connections that nobody used held all places of the server, and
  each further one was closed at once, 136 a second at each controller, the operator's among them.

  Scenario: http server: a new connection takes the place of the one that has rested longest
    Given http server: one with places for 4 connections
    When http server: 4 callers call one after the other, and keep their connections
    And http server: one more calls
    Then http server: it is answered
    And http server: the connection of the first caller is closed, and those of the others are open

  Scenario: http server: a caller whose connection was closed comes back
    Given http server: one with places for 4 connections
    When http server: 9 callers call one after the other, and keep their connections
    Then http server: all were answered, and 4 connections are open

  Scenario: http server: connections with a call under way are never closed for another
    Given http server: one with places for 4 connections, whose calls take 400 ms
    When http server: 4 callers call at once, and one more calls
    Then http server: the 4 are answered, and the further one is closed at once

  Scenario: http server: a connection that has begun a call is not closed for another
    Given http server: one with places for 2 connections
    When http server: 2 callers have sent half a call, and one more calls
    Then http server: it is closed at once, and the 2 are answered when they send the rest
