Feature: client: thousands of idle clients

  Scenario: client: 10,000 idle connections, bounded memory, no effect on other clients
    When client: 10000 connections stay idle
    Then client: each idle connection costs less than 12 KB
    And client: another client is served within 500 ms
    And client: each of 100 of them still answers
