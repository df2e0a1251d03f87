// The operators' query and command language. docs/LANGUAGE.md explains it; `npm run generate:language` turns this file
// into generated/parser.ts, which is committed.

Statement = _ statement:(Act / Read) _ { return statement; }

// Read statements: SOURCE [where CONDITION] [order by FIELD [desc], …] [limit NUMBER]

Read = (Show __)? source:Source where:(__ Where _ condition:Or { return condition; })? order:(__ @OrderBy)? limit:(__ @Limit)? {
	return {kind: 'read', source, where: where ?? undefined, order: order ?? [], limit: limit ?? undefined};
}

Source "a source (endpoints, workspaces, services, requests, waiting, claims, cache, instances, peers, configuration, acts)" = name:("endpoints"i / "workspaces"i / "services"i / "requests"i / "waiting"i / "claims"i / "cache"i / "instances"i / "peers"i / "configuration"i / "acts"i) !WordCharacter { return name.toLowerCase(); }

OrderBy = Order __ By __ head:OrderKey tail:(_ "," _ @OrderKey)* { return [head, ...tail]; }
OrderKey = field:Field direction:(__ @(Ascending / Descending))? { return {...field, descending: direction === 'desc'}; }
Limit = "limit"i !WordCharacter __ value:WholeNumber { return value; }

Or = head:And tail:(__ "or"i !WordCharacter _ @And)* { return tail.reduce((left, right) => ({kind: 'or', left, right}), head); }
And = head:Not tail:(__ "and"i !WordCharacter _ @Not)* { return tail.reduce((left, right) => ({kind: 'and', left, right}), head); }
Not = "not"i !WordCharacter _ operand:Not { return {kind: 'not', operand}; } / Primary
Primary = "(" _ @Or _ ")" / Comparison
Comparison = field:Field _ operator:Operator _ value:Value { return {kind: 'comparison', field, operator, value}; }
Operator "a comparison (=, !=, <, <=, >, >=, contains)" = "!=" / "<=" / ">=" / "=" / "<" / ">" / "contains"i !WordCharacter { return 'contains'; }
Field "a field" = !Reserved name:$([a-z]i WordCharacter*) { return {name, column: location().start.column}; }
Reserved = ("where"i / "order"i / "by"i / "limit"i / "and"i / "or"i / "not"i / "contains"i) !WordCharacter
Value "a value (a number, a word, or a text in quotes)" = Number / Text / Word

// Commands: VERB TARGET [VERSION] because "REASON"

Act = Drain / Admit / Pause / Resume / Cancel / Move
Drain = "drain"i !WordCharacter __ target:Target reason:Because { return {kind: 'act', verb: 'drain', target, reason}; }
Admit = "admit"i !WordCharacter __ target:Target (__ "again"i !WordCharacter)? reason:Because { return {kind: 'act', verb: 'admit', target, reason}; }
Pause = "pause"i !WordCharacter __ target:Target reason:Because { return {kind: 'act', verb: 'pause', target, reason}; }
Resume = "resume"i !WordCharacter __ target:Target reason:Because { return {kind: 'act', verb: 'resume', target, reason}; }
Cancel = "cancel"i !WordCharacter __ target:Target reason:Because { return {kind: 'act', verb: 'cancel', target, reason}; }
Move = "move"i !WordCharacter __ target:Target __ ("to"i !WordCharacter __)? version:Target reason:Because { return {kind: 'act', verb: 'move', target, version, reason}; }
Because = __ "because"i !WordCharacter __ @Reason
Reason "a reason in quotes" = text:Text &{ return text.trim() !== ''; } { return text; }
Target "a name" = name:(Text / Word) { return {name: String(name), column: location().start.column}; }

Show = "show"i !WordCharacter
Where = "where"i !WordCharacter
Order = "order"i !WordCharacter
By = "by"i !WordCharacter
Ascending = "asc"i !WordCharacter { return 'asc'; }
Descending = "desc"i !WordCharacter { return 'desc'; }
Number = text:$("-"? [0-9]+ ("." [0-9]+)?) !WordCharacter { return Number(text); }
WholeNumber "a whole number" = text:$[0-9]+ !WordCharacter { return Number(text); }
Text = "\"" characters:(Escaped / [^"\\\n])* "\"" { return characters.join(''); }
Escaped = "\\" @["\\]
Word = $([a-z0-9_]i WordCharacter*)
WordCharacter = [a-z0-9_.:/-]i
_ "a space" = [ \t\r\n]*
__ "a space" = [ \t\r\n]+
