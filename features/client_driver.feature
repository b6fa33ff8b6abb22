Feature: client: real drivers with a scripted back end

  Scenario Outline: client: the driver: <case>
    Then client: the driver's <case> give <result>

    Examples:
      | case                                   | result                        |
      | plain statements                       | select 1                      |
      | statements with parameters             | select $1                     |
      | prepared statements, used often        | select $1 x 20                |
      | prepared statements, then DEALLOCATE   | select $1, select $1          |
      | pipelined statements                   | select $1, select $1, select $1 |
      | an error in a pipeline                 | 22012, aborted, select 1      |
      | a pipelined transaction                | INSERT 0 1, INTRANS, IDLE     |
      | transactions by context                | IDLE, IDLE                    |
      | an error in a transaction              | INERROR, 25P02, IDLE          |
      | savepoints                             | select 1, IDLE                |
      | COPY to                                | 0A000, select 1               |
      | COPY from                              | 0A000, select 1               |
      | COPY in a transaction                  | 0A000, INERROR, IDLE          |
      | LISTEN                                 | 0A000, select 1               |
      | many rows of a statement by executemany | 3                            |
      | cancelling                             | 57014, select 1               |
      | a session of asyncpg                   | utf-8 taken, select 1         |
      | an engine of SQLAlchemy                | select 1                      |
      | the token after a write                | changed                       |
