Feature: The HTTP status interface
  Metrics and health pages are served within limits, whatever a client sends.

  Scenario Outline: Each page is served
    Given status: a process that is <live> and <ready>
    When status: "<request>" is sent
    Then status: the answer is <code> and contains "<text>"

    Examples:
      | live | ready     | request                       | code | text                       |
      | live | ready     | GET /livez HTTP/1.1           | 200  | live                       |
      | dead | ready     | GET /livez HTTP/1.1           | 503  | not live                   |
      | live | ready     | GET /readyz HTTP/1.1          | 200  | ready: serving             |
      | live | not ready | GET /readyz HTTP/1.1          | 503  | not ready: no controller   |
      | live | ready     | GET /metrics?name=x HTTP/1.1  | 200  | limedyke_proxy_reads_total |
      | live | ready     | GET /secrets HTTP/1.1         | 404  | not found                  |
      | live | ready     | POST /livez HTTP/1.1          | 405  | only GET                   |
      | live | ready     | HEAD /livez HTTP/1.1          | 405  |                            |
      | live | ready     | GET /livez                    | 400  | bad request                |
      | live | ready     | nonsense                      | 400  | bad request                |

  Scenario: A request head above the limit is refused
    Given status: a process that is live and ready
    When status: a request head of 20000 bytes is sent
    Then status: the answer is 400 and contains "bad request"

  Scenario: Two requests share a connection
    Given status: a process that is live and ready
    When status: two requests are sent on one connection
    Then status: both are answered with 200

  Scenario: A peer that sends half a request is cut off
    Given status: a process that is live and ready
    When status: half a request is sent
    Then status: the connection is closed within 7 seconds

  Scenario: Idle peers cannot hold all connections for long
    Given status: a process that is live and ready
    When status: 40 idle connections are opened and "GET /livez HTTP/1.1" is sent
    Then status: the answer is 200 and contains "live"

  Scenario: An address in use is reported with its code
    Given status: a process that is live and ready
    When status: a second process serves at the same address
    Then status: it fails with ADDRESS_IN_USE
