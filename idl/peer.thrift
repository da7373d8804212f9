/**
 * Messages between nodes.
 *
 * Over TCP each message is one frame: a 4-byte big-endian length and a
 * `frame` in Thrift's compact protocol. Over UDP one datagram carries one
 * `gossip_datagram`. Fields are only ever added, never renumbered, so that
 * nodes of adjacent versions remain compatible.
 */
namespace cpp pollenhall.wire
namespace py pollenhall_peer

/**
 * Version of the protocol in this schema. A node closes the connections and
 * drops the datagrams of peers that send another version.
 */
const i32 PROTOCOL_VERSION = 1

/** Whether a call ran, as far as this is known. */
enum outcome_code {
  /** It ran, and the complete answer was received. */
  completed = 1,
  /** It certainly did not run. */
  not_run = 2,
  /** It may have run, but no complete answer was received. */
  unknown = 3
}

/** One HTTP header, passed through unchanged. */
struct header_field {
  1: required string name,
  2: required binary value
}

/** First frame on each connection; sent by both sides. */
struct hello {
  1: required i32 protocol_version,
  2: required string node,
  /**
   * Start time of the process, ms since the Unix epoch. Distinguishes the
   * processes of a node that restarted.
   */
  3: required i64 boot,
  4: required string zone
}

/**
 * One attempt of a call, sent to the node beside the selected upstream or to
 * the home of the call's idempotency key.
 */
struct call_request {
  /** Matches the answer to the call; unique on this connection. */
  1: required i64 call_id,
  2: required string service_name,
  3: required string kind,
  4: required string method,
  /** Rest of the request target behind the kind: path and query. */
  5: required binary target,
  6: required list<header_field> headers,
  7: required binary body,
  /**
   * Time left until the deadline, ms. The deadline is not sent as a time of
   * day, so that the clocks of the nodes need not agree.
   */
  8: required i32 time_left_ms,
  /**
   * Retries that the receiver may spend on this call and the calls nested in
   * it.
   */
  9: required i32 retries_lent,
  /** Importance class of the whole request; 0 is the lowest. */
  10: required i32 importance,
  /**
   * Position within the importance class, 0 to 127, from a hash of the trace
   * id; the same at every hop.
   */
  11: required i32 cohort,
  /** Number of hops that the whole request has completed. */
  12: required i32 work_done,
  /** Trace id, 32 hex digits. */
  13: required string trace_id,
  /** Owner of the service that the request entered by. */
  14: required string member,
  /** Idempotency key; empty for a repeatable kind. */
  15: required string key,
  /**
   * Set when the home of the idempotency key has recorded the key and forwards
   * the call to a node that is to run it.
   */
  16: required bool delegated,
  /** Hash of the request's content, to detect requests that crash upstreams. */
  17: required i64 fingerprint,
  /** Number of the attempt: 1 for the first, increased by each retry. */
  18: required i32 attempt
}

/** Load of an upstream, as measured by the node beside it. */
struct load_report {
  /** Calls that are running on the upstream. */
  1: required i32 running,
  /** Calls that are queued on the node. */
  2: required i32 queued,
  /** Current concurrency limit of the upstream. */
  3: required i32 limit,
  /**
   * Lowest rank that is admitted for the kind of this call, also by the
   * upstreams that this kind calls.
   */
  4: required i32 admitted_rank,
  /** Whether the upstream accepts new work. */
  5: required bool accepting
}

/** Answer to a `call_request`. */
struct call_answer {
  1: required i64 call_id,
  2: required outcome_code outcome,
  /** HTTP status of the upstream's response; 0 if there is none. */
  3: required i32 status,
  4: required list<header_field> headers,
  5: required binary body,
  /** Unused part of `retries_lent`. */
  6: required i32 retries_returned,
  /** Code of the reason for a refusal; empty if there is none. */
  7: required string reason,
  /** Minimum delay before another attempt, ms; 0 if there is none. */
  8: required i32 retry_after_ms,
  9: required load_report load,
  /**
   * Whether the upstream failed in a way that is specific to it, so that
   * another upstream may succeed.
   */
  10: required bool upstream_failed
}

/**
 * The sender no longer waits for the answer. A queued call is removed; a
 * running call is aborted unless it has an idempotency key.
 */
struct call_cancel {
  1: required i64 call_id
}

/** Checks whether a connection still delivers frames. */
struct heartbeat {
  /** Whether the receiver must answer with a heartbeat. */
  1: required bool reply_wanted
}

/**
 * State of the upstream beside the sender, sent on all accepted connections
 * when it changes. Reaches callers of the upstream sooner than gossip.
 */
struct upstream_notice {
  1: required string node,
  2: required i64 boot,
  3: required string service_name,
  /** A code of `charts/upstream.ini`. */
  4: required i32 state,
  /** Field `version` of the sender's `peer_record`. */
  5: required i64 version
}

/** One document of a space. */
struct space_document {
  1: required string path,
  /** Generation in which the document last changed. */
  2: required i64 generation,
  /** Absent if the document was removed. */
  3: optional binary text
}

/** Newest generation of a document space. */
struct space_digest {
  /** `member/NAME` for declarations, `roster/SERVICE` for rosters. */
  1: required string space,
  2: required i64 generation
}

/** Requests all documents of a space that changed after `have`. */
struct space_pull {
  1: required string space,
  2: required i64 have
}

/** Changed documents of a space; the answer to a `space_pull`. */
struct space_push {
  1: required string space,
  2: required i64 generation,
  /** Id of the apply operation that created the generation. */
  3: required string apply_id,
  /** Operator or node that created the generation. */
  4: required string actor,
  5: required list<space_document> documents,
  /**
   * `documents` holds all documents that changed after this generation; 0 for
   * all documents.
   */
  6: required i64 since
}

/**
 * Generations of all spaces of the sender. The receiver pulls the spaces of
 * which it has an older generation.
 */
struct book_digest {
  1: required list<space_digest> spaces,
  /** Whether the receiver must answer with its own digest. */
  2: required bool reply_wanted
}

/** Record of a peer in the membership table. */
struct peer_record {
  1: required string node,
  2: required i64 boot,
  /** Incremented by the peer itself to refute a suspicion. */
  3: required i32 incarnation,
  /** Liveness of the peer: 0 alive, 1 suspect, 2 dead, 3 left. */
  4: required i32 life,
  5: required string address,
  /** Port for gossip (UDP) and for connections (TCP). */
  6: required i32 peer_port,
  7: required string zone,
  /** Service of the upstream beside the peer; empty if there is none. */
  8: required string service_name,
  /** State of that upstream, a code of `charts/upstream.ini`. */
  9: required i32 upstream_state,
  /**
   * Incremented by the peer when it changes `service_name` or
   * `upstream_state`, or leaves; starts at 0 in each boot.
   */
  10: required i64 version
}

/** A request that was running on an upstream when it crashed. */
struct suspicion_record {
  1: required i64 fingerprint,
  /** Identifies the crash. */
  2: required i64 crash_id,
  /** Time until the suspicion expires, ms. */
  3: required i32 time_left_ms,
  /**
   * Whether the crash was observed; false if only the connection to the node
   * beside the upstream was lost.
   */
  4: optional bool confirmed = true
}

/** Counters of one member and kind on one node since the node started. */
struct board_row {
  1: required string member,
  2: required string service_name,
  3: required string kind,
  /**
   * Whole requests received from callers outside the call graph; nested calls
   * are not counted.
   */
  4: required i64 offered,
  5: required i64 completed_in_time,
  6: required i64 completed_late,
  7: required i64 not_run,
  8: required i64 unknown,
  /** Retries that the node made, not counting first attempts. */
  9: required i64 retries,
  /** Requests in `not_run` that were shed under overload. */
  10: required i64 shed,
  /** Runs on the upstream beside the node, for any member. */
  11: required i64 upstream_runs,
  /** Runs in `upstream_runs` for requests of other members. */
  12: required i64 runs_for_others,
  /** Total duration of the runs for other members, ms. */
  13: optional i64 lent_ms,
  /** Runs of this member's requests on upstreams of other members. */
  14: optional i64 runs_borrowed,
  /** Total duration of the runs on upstreams of other members, ms. */
  15: optional i64 borrowed_ms
}

/** Outcome counts of one kind in the windows 5 min, 30 min, 1 h and 6 h. */
struct burn_row {
  1: required string service_name,
  2: required string kind,
  /**
   * True for calls at the upstream beside the node; false for whole requests
   * that the node received from callers.
   */
  3: required bool at_upstream,
  /** One list for each window: counts in the order of `request_end`. */
  4: required list<list<i64>> windows
}

/** Outcomes of a member's requests in one second. */
struct load_second_record {
  /** Seconds since the Unix epoch. */
  1: required i64 second,
  /** Requests that ended in this second and count against the objective. */
  2: required i64 ended,
  3: required i64 in_time,
  4: required i64 shed
}

/** One node's part of a member's burn report. */
struct burn_part {
  1: required list<burn_row> rows,
  2: required list<load_second_record> seconds,
  /**
   * Requests of the classes high and critical that completed in time, in the
   * last 6 h, in minutes in which the node shed a request of a lower class.
   */
  3: required i64 kept_while_shedding,
  /**
   * Outcomes that were not counted because the history had its maximum number
   * of rows.
   */
  4: required i64 left_out
}

/** A decision on a recent request. */
struct decision_line {
  /** Milliseconds since the Unix epoch, by the clock of the node. */
  1: required i64 at_ms,
  /** Owner of the service that the request entered by. */
  2: required string member,
  3: required string service_name,
  4: required string kind,
  /**
   * Point at which the decision was taken: `entry`, `try` (the end of an
   * attempt), `home` or `upstream`.
   */
  5: required string point,
  /** Outcome at that point: `completed`, `not_run` or `unknown`. */
  6: required string outcome,
  /** Code of the reason for a refusal; empty if there is none. */
  7: required string reason,
  /** Node to which an attempt was sent; empty at other points. */
  8: required string peer
}

/** Queries the counters of a node. */
struct board_pull {
  1: required i64 request_id,
  /** Member whose `burn_part` is requested too; absent for none. */
  2: optional string burn_member,
  /** Trace id whose decisions are requested too; absent for none. */
  3: optional string trace_id
}

/** Answer to a `board_pull`. */
struct board_push {
  /** As in the query. */
  1: required i64 request_id,
  2: required string node,
  3: required i64 boot,
  4: required list<board_row> rows,
  /** Generations in force on the node. */
  5: required list<space_digest> in_force,
  /** Present if the query has `burn_member`. */
  6: optional burn_part burn,
  7: optional string zone,
  /** Decisions on the trace named in the query, oldest first. */
  8: optional list<decision_line> decisions
}

/**
 * Asks a member of a service's roster to seal its epoch for a new one: as a
 * home of the earlier epoch, it then accepts no key issued at or after
 * `start_ms`.
 */
struct seal_request {
  1: required string service_name,
  /** Number of the new epoch. */
  2: required i64 epoch,
  /** Start of the new epoch, ms since the Unix epoch. */
  3: required i64 start_ms
}

/** Answer to a `seal_request`; the first three fields are as in the request. */
struct seal_answer {
  1: required string service_name,
  2: required i64 epoch,
  3: required i64 start_ms,
  /** Whether the process has sealed its epoch. */
  4: required bool sealed,
  /**
   * Latest issue time of a key that the process has accepted, ms since the Unix
   * epoch.
   */
  5: required i64 latest_accepted_ms,
  /** Node of the process that answers. */
  6: required string node,
  7: required i64 boot
}

/** One message on a connection; exactly one field is set. */
union frame {
  1: hello hello_message,
  2: call_request request,
  3: call_answer answer,
  4: call_cancel cancel,
  5: upstream_notice notice,
  6: space_pull pull,
  7: space_push push,
  8: book_digest digest,
  9: board_pull board_request,
  10: board_push board,
  11: seal_request seal,
  12: seal_answer sealed,
  13: heartbeat beat
}

enum datagram_kind {
  /** Probes the node `target`, which answers with an ack. */
  ping = 1,
  /** Answers a ping. */
  ack = 2,
  /** Asks the receiver to ping `target` for the sender. */
  ping_request = 3,
  /** Carries updates only; no answer is expected. */
  rumour = 4,
  /**
   * Carries `bucket_hashes`; the receiver sends its records of the buckets
   * whose hashes differ.
   */
  sync = 5
}

/** One datagram between peers. */
struct gossip_datagram {
  1: required i32 protocol_version,
  2: required datagram_kind kind,
  /** Matches an ack to its ping or ping request. */
  3: required i64 sequence,
  /** The sender's own record. */
  4: required peer_record sender,
  /**
   * Node that is probed. A node ignores a ping for another one, which may have
   * used the same address before.
   */
  5: required string target,
  6: required list<peer_record> updates,
  7: required list<space_digest> spaces,
  8: required list<suspicion_record> suspicions,
  /** Hash over the sender's membership table; compared in pings and acks. */
  9: required i64 table_hash,
  /** Hash over the sender's spaces and their generations. */
  10: required i64 book_hash,
  /** In a sync: hash of each bucket of the sender's membership table. */
  11: required list<i64> bucket_hashes,
  /** In a sync: whether the receiver must answer with its own hashes. */
  12: required bool reply_wanted,
  /** Hash over the crash suspicions that the sender knows. */
  13: optional i64 suspicion_hash
}
