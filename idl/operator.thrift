/**
 * Remote procedure calls for operators, served by every daemon.
 *
 * Thrift's binary protocol over a buffered transport. Every call may be sent
 * to any node. Text is UTF-8.
 */
namespace cpp pollenhall.rpc
namespace py pollenhall_operator

/** One file of a folder of declarations. */
struct document {
  /** Path below the folder, for example `services/orders.ini`. */
  1: required string path,
  /** The file's bytes, as they stand in version control. */
  2: required binary text
}

/** A fault in a document, with its place. */
struct finding {
  1: required string path,
  /** 1 for the first line; 0 if the finding is about the whole file. */
  2: required i32 line,
  /** What is wrong and which values are allowed. */
  3: required string message
}

/** Result of checking declarations; no finding means that they may apply. */
struct check_reply {
  1: required list<finding> findings
}

enum change_kind {
  added = 1,
  changed = 2,
  removed = 3
}

/** Difference of one document from what is in force. */
struct document_change {
  1: required string path,
  2: required change_kind kind,
  /** Text in force at the node that answers; empty if added. */
  3: required binary before,
  /** Text that was proposed; empty if removed. */
  4: required binary after
}

struct diff_reply {
  1: required list<finding> findings,
  /** Member that the documents declare. */
  2: required string member,
  /** Generation that the difference was taken from; pass it to `apply`. */
  3: required i64 base_generation,
  4: required list<document_change> changes
}

struct apply_request {
  /** The whole folder; documents that are missing here are removed. */
  1: required list<document> documents,
  /** Generation that the caller has seen; -1 to take the newest. */
  2: required i64 base_generation,
  /** Unique id of this apply (a UUID); the same id never applies twice. */
  3: required string apply_id,
  /** Who applies, for the record. At most 128 bytes. */
  4: required string actor
}

enum apply_result {
  /** Accepted; in force on the node that answers. */
  accepted = 1,
  /** Nothing differs from what is in force. */
  unchanged = 2,
  /** Refused because of `findings`; nothing was written. */
  invalid = 3,
  /** Somebody else applied first; nothing was written. */
  conflict = 4,
  /** The store was not reached; nothing was written. */
  not_accepted = 5,
  /** The store's answer was lost; ask `settle` with the same apply id. */
  not_known = 6
}

struct apply_reply {
  1: required apply_result result,
  2: required string member,
  /** Generation in force after this call, as far as it is known. */
  3: required i64 generation,
  4: required list<finding> findings,
  /** On conflict: what the other apply changed. */
  5: required list<document_change> others_changes,
  /** On conflict: who applied it. */
  6: required string others_actor,
  7: required string message
}

/** How far a generation has spread. */
struct node_status {
  1: required string node,
  2: required string zone,
  /** Whether the node answered this query. */
  3: required bool heard,
  /** Life of the peer as the answering node sees it. */
  4: required string life,
  5: required string service_name,
  6: required string upstream_state,
  7: required map<string, i64> generations
}

struct status_reply {
  1: required string node,
  2: required string version,
  /** Whether the store answered lately. */
  3: required bool store_reachable,
  4: required list<node_status> nodes,
  /** Members with the newest generation known to the answering node. */
  5: required map<string, i64> generations
}

struct board_line {
  1: required string service_name,
  2: required string kind,
  3: required i64 offered,
  4: required i64 completed_in_time,
  5: required i64 completed_late,
  6: required i64 not_run,
  7: required i64 unknown,
  8: required i64 retries,
  9: required i64 shed,
  10: required i64 upstream_runs,
  11: required i64 runs_for_others,
  /** Time of those runs on the upstream, ms. */
  12: required i64 lent_ms,
  /** Runs of this member's requests on upstreams of other members. */
  13: required i64 runs_borrowed,
  /** Time of those runs on the upstream, ms. */
  14: required i64 borrowed_ms
}

struct report_reply {
  1: required string member,
  2: required list<board_line> lines,
  3: required i32 nodes_heard,
  4: required i32 nodes_known
}

/** How requests or calls ended in one window. */
struct burn_window_line {
  /** Length: `5m`, `30m`, `1h` or `6h`. */
  1: required string window,
  /** Number of requests by the way they ended; names as in docs/reports.md. */
  2: required map<string, i64> ends,
  /** Requests that the objective judges, and those that missed it. */
  3: required i64 judged,
  4: required i64 bad,
  /** 1 uses the error budget up exactly over the objective's period. */
  5: required double burn_rate
}

/** One kind of request of the member. */
struct burn_kind {
  1: required string service_name,
  2: required string kind,
  3: required string importance,
  /** Share of requests that are to end in time, 0 to 1. */
  4: required double objective,
  /** Part of the error budget of the last 6 h that is left. */
  5: required double budget_left,
  6: required list<burn_window_line> windows,
  /** `page` if 5m and 1h burn at 14.4 or more, else `ticket` if 30m and 6h
      burn at 6 or more, else empty. */
  7: required string alert
}

/** What the upstream beside one node did for a kind in the last hour. */
struct burn_upstream {
  1: required string node,
  2: required string zone,
  3: required string service_name,
  4: required string kind,
  5: required map<string, i64> ends
}

/** A time in which the member's requests were shed. */
struct burn_episode {
  /** Seconds since the Unix epoch; first and last second of shedding. */
  1: required i64 start_second,
  2: required i64 end_second,
  /** Seconds until requests completed again; -1 if not seen yet. */
  3: required i64 recovery_s
}

/** One second of the member's requests. */
struct burn_second {
  1: required i64 second,
  2: required i64 ended,
  3: required i64 in_time,
  4: required i64 shed
}

struct burn_reply {
  1: required string member,
  /** Seconds since the Unix epoch. */
  2: required i64 made_at,
  3: required list<burn_kind> kinds,
  4: required list<burn_upstream> upstreams,
  5: required list<burn_episode> episodes,
  /** The last ten minutes; seconds without requests are left out. */
  6: required list<burn_second> seconds,
  7: required i32 nodes_heard,
  8: required i32 nodes_known,
  /** Nodes heard that started within the last 6 h; what their predecessors
      counted is lost. */
  9: required i32 nodes_restarted,
  10: required i64 kept_while_shedding,
  11: required i64 left_out
}

/** A decision on a recent request; see `explain`. */
struct decision {
  /** Milliseconds since the Unix epoch, by the clock of the node. */
  1: required i64 at_ms,
  2: required string node,
  3: required string zone,
  4: required string service_name,
  5: required string kind,
  /** Where it was taken: `entry`, `try`, `home` or `upstream`. */
  6: required string point,
  /** Outcome in its place: `completed`, `not_run` or `unknown`. */
  7: required string outcome,
  /** Reason of a refusal; empty without one. */
  8: required string reason,
  /** Node that a try was sent to; empty elsewhere. */
  9: required string peer
}

struct explain_reply {
  /** In order of time. */
  1: required list<decision> decisions,
  2: required i32 nodes_heard,
  3: required i32 nodes_known
}

/** The call was refused; `message` says why. */
exception operator_error {
  1: required string message
}

/**
 * The first call on a connection is `log_in`; all others are refused before.
 * A refusal names the right that is missing.
 */
service operator_service {
  /**
   * Logs in as `platform` or `MEMBER/OPERATOR`. The key is compared with its
   * stored hash. It crosses the network as it is; see docs/threat-model.md.
   */
  void log_in(1: string name, 2: string key) throws (1: operator_error error),

  /** Checks a folder of declarations; changes nothing. */
  check_reply check(1: list<document> documents)
      throws (1: operator_error error),

  /** Compares a folder with what is in force; changes nothing. */
  diff_reply diff(1: list<document> documents)
      throws (1: operator_error error),

  /** Puts a folder of declarations in force everywhere. */
  apply_reply apply(1: apply_request request) throws (1: operator_error error),

  /** Finds out what became of an apply whose answer was lost. */
  apply_reply settle(1: string member, 2: string apply_id)
      throws (1: operator_error error),

  /** What the node knows of its peers, and what each has in force. */
  status_reply status() throws (1: operator_error error),

  /** Drains the upstream beside this node: no new work is accepted. */
  void drain() throws (1: operator_error error),

  /** Lets the upstream beside this node take work again. */
  void undrain() throws (1: operator_error error),

  /** The member's board, summed over all nodes that answer. */
  report_reply report(1: string member) throws (1: operator_error error),

  /** How fast the member's error budgets burn, and why. */
  burn_reply burn(1: string member) throws (1: operator_error error),

  /**
   * The decisions on a request of the last minutes, by its trace id (32
   * hexadecimal digits), as far as nodes still remember them.
   */
  explain_reply explain(1: string trace_id) throws (1: operator_error error)
}
