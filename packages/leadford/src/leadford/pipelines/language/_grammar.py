"""Define the grammar of the operators' language.

docs/operators describes the language for its users. A name after `->` is a method of
`_parse._Builder`.
"""

GRAMMAR = r"""
start: statement ";"?

?statement: query | command

?query: "show" subject where? limit?            -> show
      | "show" "cost" ("by" DIMENSION)? where?  -> show_cost
      | "explain" "request" NAME                -> explain

subject: SUBJECT
where: "where" condition ("and" condition)*
condition: COLUMN OPERATOR value
limit: "limit" INTEGER

?command: "drain" SCOPE NAME                             -> drain
        | "restore" SCOPE NAME                           -> restore
        | "set" "priority" "of" "pipeline" NAME "to" INTEGER     -> pipeline_priority
        | "set" "priority" "of" "workspace" NAME "to" SIGNED     -> workspace_priority
        | "set" "share" "of" "workspace" NAME "to" number        -> share
        | "set" "minimum" "of" "workspace" NAME "to" number      -> minimum
        | "set" "objective" "to" OBJECTIVE               -> objective
        | "set" "tuning" TUNING "to" value               -> tuning
        | "add" "workspace" NAME workspace_term*         -> add_workspace
        | "remove" "workspace" NAME                      -> remove_workspace
        | "add" "endpoint" NAME _place _addresses        -> add_endpoint
        | "remove" "endpoint" NAME                       -> remove_endpoint
        | "add" "stage" NAME "pool" NAME _position       -> add_stage
        | "remove" "stage" NAME "from" "pipeline" NAME   -> remove_stage
        | "pause" "pipeline" NAME                        -> pause
        | "resume" "pipeline" NAME                       -> resume
        | "load" "model" NAME "version" NAME _copies     -> load_model
        | "unload" "model" NAME                          -> unload_model
        | "pin" "model" NAME "to" "endpoint" NAME        -> pin_model
        | "undo" INTEGER                                 -> undo

_place: "pool" NAME "host" NAME "hall" NAME
_addresses: "agent" ADDRESS "url" URL
_position: "to" "pipeline" NAME ("after" NAME)?
_copies: "in" "pool" NAME "copies" INTEGER

workspace_term: "share" number    -> term_share
              | "minimum" number  -> term_minimum
              | "key" HASH        -> term_key

?value: number | text
number: INTEGER | DECIMAL
text: NAME | QUOTED

SUBJECT: "requests" | "queue" | "endpoints" | "halls" | "entries" | "workspaces"
       | "pipelines" | "pools" | "models" | "versions" | "audit" | "events"
DIMENSION: "stage" | "pipeline" | "workspace"
SCOPE: "endpoint" | "host" | "hall"
OBJECTIVE: "attainment" | "cost"
OPERATOR: "<=" | ">=" | "!=" | "=" | "<" | ">"
COLUMN: /[a-z][a-z_]{0,62}/
TUNING: /[a-z][a-z_]{0,62}/
NAME: /[a-z0-9][a-z0-9_.-]{0,62}/
ADDRESS: /[0-9a-fA-F.:\[\]]+:[0-9]{1,5}/
URL: /http:\/\/[0-9a-fA-F.:\[\]]+/
HASH: /[0-9a-f]{64}/
QUOTED: /"[^"\n]{0,200}"/
INTEGER: /[0-9]{1,12}/
DECIMAL: /[0-9]{1,12}\.[0-9]{1,6}/
SIGNED: /[+-][0-9]/

%import common.WS
%ignore WS
"""
