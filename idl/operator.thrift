/**
 * Remote procedure calls for operators, served by every daemon.
 *
 * Uses Thrift's binary protocol over a buffered transport. Any node serves any
 * call; `drain` and `undrain` act on the upstream beside that node. Text is
 * UTF-8.
 */
namespace cpp pollenhall.rpc
namespace py pollenhall_operator

/** One file of a folder of declarations. */
struct document {
  /** Path below the folder, for example `services/orders.ini`. */
  1: required string path,
  /** Unmodified content of the file. */
  2: required binary text
}

/** An error in a document, with its location. */
struct finding {
  1: required string path,
  /** Line number from 1; 0 if the finding is about the whole file. */
  2: required i32 line,
  /** What is wrong and which values are allowed. */
  3: required string message
}

/** Result of checking declarations; they are valid if there is no finding. */
struct check_reply {
  1: required list<finding> findings
}

enum change_kind {
  added = 1,
  changed = 2,
  removed = 3
}

/** Difference between a document and its version in force. */
struct document_change {
  1: required string path,
  2: required change_kind kind,
  /** Text in force on the answering node; empty if added. */
  3: required binary before,
  /** Proposed text; empty if removed. */
  4: required binary after
}

struct diff_reply {
  1: required list<finding> findings,
  /** Member that the documents declare. */
  2: required string member,
  /** Generation that the changes are based on; pass it to `apply`. */
  3: required i64 base_generation,
  4: required list<document_change> changes
}

struct apply_request {
  /** The whole folder; documents that are missing from it are removed. */
  1: required list<document> documents,
  /**
   * Generation that the change is based on; -1 for the generation in force on
   * the answering node.
   */
  2: required i64 base_generation,
  /**
   * Unique id of this apply, such as a UUID; 1 to 64 bytes. A change whose id
   * was accepted before is not written again.
   */
  3: required string apply_id,
  /**
   * Name of the person or program that applies, at most 128 bytes; recorded
   * with the generation.
   */
  4: required string actor
}

enum apply_result {
  /** Accepted; in force on the answering node. */
  accepted = 1,
  /** The documents are the same as in the store; nothing was written. */
  unchanged = 2,
  /**
   * Refused because of `findings`, or because the change is too large for the
   * store, as `message` says; nothing was written.
   */
  invalid = 3,
  /**
   * The space is at another generation than the change is based on, because of
   * another apply; nothing was written.
   */
  conflict = 4,
  /** The store could not be reached; nothing was written. */
  not_accepted = 5,
  /**
   * The store's response was lost; call `settle` with the same apply id to
   * determine the outcome.
   */
  not_known = 6
}

struct apply_reply {
  1: required apply_result result,
  2: required string member,
  /** Generation in force after this call; 0 if it is not known. */
  3: required i64 generation,
  4: required list<finding> findings,
  /** On conflict: the changes of the other apply. */
  5: required list<document_change> others_changes,
  /** On conflict: the `actor` of the other apply. */
  6: required string others_actor,
  /** Explains the result; empty if there is nothing to add. */
  7: required string message
}

/** State of one node, and the generations in force on it. */
struct node_status {
  1: required string node,
  2: required string zone,
  /** Whether the node answered this query. */
  3: required bool heard,
  /** Liveness of the node, as known to the answering node. */
  4: required string life,
  5: required string service_name,
  6: required string upstream_state,
  /** Generation in force on the node, by space; empty if not `heard`. */
  7: required map<string, i64> generations
}

struct status_reply {
  /** The answering node. */
  1: required string node,
  /** Program version of the answering node. */
  2: required string version,
  /**
   * Whether the last read of the store by the answering node's watch succeeded;
   * false if the node has never watched the store.
   */
  3: required bool store_reachable,
  4: required list<node_status> nodes,
  /** Generation in force on the answering node, by space. */
  5: required map<string, i64> generations
}

/** Counters of one kind, summed over the nodes that answered. */
struct board_line {
  1: required string service_name,
  2: required string kind,
  /**
   * Whole requests received from callers outside the call graph; nested calls
   * are not counted.
   */
  3: required i64 offered,
  4: required i64 completed_in_time,
  5: required i64 completed_late,
  6: required i64 not_run,
  7: required i64 unknown,
  /** Retries, not counting first attempts. */
  8: required i64 retries,
  /** Requests in `not_run` that were shed under overload. */
  9: required i64 shed,
  /** Runs on upstreams of this service, for any member. */
  10: required i64 upstream_runs,
  /** Runs in `upstream_runs` for requests of other members. */
  11: required i64 runs_for_others,
  /** Total duration of the runs for other members, ms. */
  12: required i64 lent_ms,
  /** Runs of this member's requests on upstreams of other members. */
  13: required i64 runs_borrowed,
  /** Total duration of the runs on upstreams of other members, ms. */
  14: required i64 borrowed_ms
}

struct report_reply {
  1: required string member,
  2: required list<board_line> lines,
  /** Nodes that answered before the timeout. */
  3: required i32 nodes_heard,
  /** Nodes known to the answering node that have not left. */
  4: required i32 nodes_known
}

/** Outcomes of requests in one time window that ends now. */
struct burn_window_line {
  /** Length of the window: `5m`, `30m`, `1h` or `6h`. */
  1: required string window,
  /** Number of requests by outcome; docs/reports.md lists the names. */
  2: required map<string, i64> ends,
  /** Requests that count against the objective. */
  3: required i64 judged,
  /** Requests in `judged` that did not meet the objective. */
  4: required i64 bad,
  /**
   * Rate at which the error budget is consumed: at 1 the budget is used up
   * exactly at the end of the objective's period.
   */
  5: required double burn_rate
}

/** Error budget of one kind of request of the member. */
struct burn_kind {
  1: required string service_name,
  2: required string kind,
  3: required string importance,
  /** Objective: fraction of requests that complete in time, 0 to 1. */
  4: required double objective,
  /**
   * Remaining fraction of the error budget of the last 6 h; negative if the
   * budget is exceeded.
   */
  5: required double budget_left,
  6: required list<burn_window_line> windows,
  /**
   * `page` if the burn rate is at least 14.4 in the windows `5m` and `1h`, else
   * `ticket` if it is at least 6 in `30m` and `6h`, else empty.
   */
  7: required string alert
}

/**
 * Outcomes of the calls of one kind at the upstream beside one node in the last
 * hour.
 */
struct burn_upstream {
  1: required string node,
  2: required string zone,
  3: required string service_name,
  4: required string kind,
  /** Number of calls by outcome, with the names of `burn_window_line`. */
  5: required map<string, i64> ends
}

/** An overload episode: a period in which the member's requests were shed. */
struct burn_episode {
  /** First and last second of shedding, in seconds since the Unix epoch. */
  1: required i64 start_second,
  2: required i64 end_second,
  /**
   * Seconds from the end of the episode to the start of the first five
   * consecutive seconds in which 99% of requests completed in time; -1 if this
   * has not been observed yet.
   */
  3: required i64 recovery_s
}

/** Outcomes of the member's requests in one second. */
struct burn_second {
  /** Seconds since the Unix epoch. */
  1: required i64 second,
  /** Requests that ended in this second and count against the objective. */
  2: required i64 ended,
  3: required i64 in_time,
  4: required i64 shed
}

struct burn_reply {
  1: required string member,
  /** Time of the report, seconds since the Unix epoch. */
  2: required i64 made_at,
  3: required list<burn_kind> kinds,
  4: required list<burn_upstream> upstreams,
  5: required list<burn_episode> episodes,
  /**
   * The last ten minutes, oldest first. Seconds in which no request ended are
   * omitted.
   */
  6: required list<burn_second> seconds,
  /** Nodes that answered before the timeout. */
  7: required i32 nodes_heard,
  /** Nodes known to the answering node that have not left. */
  8: required i32 nodes_known,
  /**
   * Nodes in `nodes_heard` that started within the last 6 h. The counts of
   * their earlier processes are lost.
   */
  9: required i32 nodes_restarted,
  /**
   * Requests of the classes high and critical that completed in time, in the
   * last 6 h, in minutes in which their node shed a request of a lower class.
   */
  10: required i64 kept_while_shedding,
  /**
   * Outcomes that were not counted because the history of their node had its
   * maximum number of rows.
   */
  11: required i64 left_out
}

/** A decision on a recent request; see `explain`. */
struct decision {
  /** Milliseconds since the Unix epoch, by the clock of the node. */
  1: required i64 at_ms,
  /** Node that took the decision. */
  2: required string node,
  3: required string zone,
  4: required string service_name,
  5: required string kind,
  /**
   * Point at which the decision was taken: `entry`, `try` (the end of an
   * attempt), `home` or `upstream`.
   */
  6: required string point,
  /** Outcome at that point: `completed`, `not_run` or `unknown`. */
  7: required string outcome,
  /** Code of the reason for a refusal; empty if there is none. */
  8: required string reason,
  /** Node to which an attempt was sent; empty at other points. */
  9: required string peer
}

struct explain_reply {
  /** Sorted by time. */
  1: required list<decision> decisions,
  /** Nodes that answered before the timeout. */
  2: required i32 nodes_heard,
  /** Nodes known to the answering node that have not left. */
  3: required i32 nodes_known
}

/** The call was refused; `message` states the reason. */
exception operator_error {
  1: required string message
}

/**
 * Each connection starts with `log_in`; other calls are refused until it has
 * succeeded. If the operator lacks a right, the error names it.
 */
service operator_service {
  /**
   * Logs in as `platform` or `MEMBER/OPERATOR`. The hash of the key is compared
   * with the stored hash. The key is sent without encryption; see
   * docs/threat-model.md.
   */
  void log_in(1: string name, 2: string key) throws (1: operator_error error),

  /** Checks a folder of declarations; changes nothing. */
  check_reply check(1: list<document> documents)
      throws (1: operator_error error),

  /** Compares a folder with the documents in force; changes nothing. */
  diff_reply diff(1: list<document> documents)
      throws (1: operator_error error),

  /** Puts a folder of declarations in force on all nodes. */
  apply_reply apply(1: apply_request request) throws (1: operator_error error),

  /** Determines the outcome of an apply whose response was lost. */
  apply_reply settle(1: string member, 2: string apply_id)
      throws (1: operator_error error),

  /**
   * Returns the nodes known to this node and the generations in force on each,
   * as far as the operator may read them.
   */
  status_reply status() throws (1: operator_error error),

  /** Drains the upstream beside this node: no new work is accepted. */
  void drain() throws (1: operator_error error),

  /** Lets the upstream beside this node take work again. */
  void undrain() throws (1: operator_error error),

  /** Returns the member's counters, summed over all nodes that answer. */
  report_reply report(1: string member) throws (1: operator_error error),

  /**
   * Returns the burn rates of the member's error budgets, with the outcomes and
   * overload episodes that explain them.
   */
  burn_reply burn(1: string member) throws (1: operator_error error),

  /**
   * Returns the decisions on a recent request with this trace id (32
   * lower-case hexadecimal digits). Each node keeps only its latest decisions.
   */
  explain_reply explain(1: string trace_id) throws (1: operator_error error)
}
