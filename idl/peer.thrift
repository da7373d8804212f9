/**
 * Messages between nodes.
 *
 * Over TCP each message is one frame: a 4-byte big-endian length and a
 * `frame` in Thrift's compact protocol. Over UDP one datagram carries one
 * `gossip_datagram`. Fields are only ever added, never renumbered, so that
 * nodes of neighbouring versions understand each other.
 */
namespace cpp pollenhall.wire
namespace py pollenhall_peer

/** Version that this schema describes; refused by name if not understood. */
const i32 PROTOCOL_VERSION = 1

/** What is known about whether the work of a call ran. */
enum outcome_code {
  completed = 1,
  not_run = 2,
  unknown = 3
}

/** One HTTP header, passed through unchanged. */
struct header_field {
  1: required string name,
  2: required binary value
}

/** First frame on each connection, in both directions. */
struct hello {
  1: required i32 protocol_version,
  2: required string node,
  /** Start time of the process, ms since the Unix epoch. */
  3: required i64 boot,
  4: required string zone
}

/** A try of a call, sent to the node beside the chosen upstream. */
struct call_request {
  /** Correlates the answer; unique on this connection. */
  1: required i64 call_id,
  2: required string service_name,
  3: required string kind,
  4: required string method,
  /** Path below the kind, with the query. */
  5: required binary target,
  6: required list<header_field> headers,
  7: required binary body,
  /** Time left until the caller's deadline, ms. */
  8: required i32 time_left_ms,
  /** Retries that this hop and all below it may spend. */
  9: required i32 retries_lent,
  /** Importance class of the whole request, 0 is the lowest. */
  10: required i32 importance,
  /** Place within its class, 0 to 127, from a hash of the trace id. */
  11: required i32 cohort,
  /** Hops that the whole request has completed so far. */
  12: required i32 work_done,
  /** Trace id, 32 hex digits. */
  13: required string trace_id,
  /** Member that owns the request at its entry. */
  14: required string member,
  /** Idempotency key; empty for a repeatable kind. */
  15: required string key,
  /** Set by the key's home when it has recorded the key itself. */
  16: required bool delegated,
  /** Fingerprint used to recognise a request that crashes upstreams. */
  17: required i64 fingerprint,
  /** 1 for the first try of this call, counted up by retries. */
  18: required i32 attempt
}

/** Load of the node beside an upstream, part of every answer. */
struct load_report {
  1: required i32 running,
  2: required i32 queued,
  3: required i32 limit,
  /** Lowest rank that is admitted for the kind of this call. */
  4: required i32 admitted_rank,
  /** Whether the upstream accepts new work. */
  5: required bool accepting
}

/** Answer to a `call_request`. */
struct call_answer {
  1: required i64 call_id,
  2: required outcome_code outcome,
  /** HTTP status of the upstream, or of the refusal. */
  3: required i32 status,
  4: required list<header_field> headers,
  5: required binary body,
  /** Part of `retries_lent` that was not spent. */
  6: required i32 retries_returned,
  /** Machine-readable reason of a refusal; empty if completed. */
  7: required string reason,
  /** Earliest time for another try, ms from now; 0 if any time. */
  8: required i32 retry_after_ms,
  9: required load_report load,
  /** The upstream failed in a way that another may not. */
  10: required bool upstream_failed
}

/** The caller no longer waits; queued work is dropped, running cancelled. */
struct call_cancel {
  1: required i64 call_id
}

/** Finds out whether a connection still carries traffic. */
struct heartbeat {
  1: required bool reply_wanted
}

/** State of the upstream beside the sender, pushed when it changes. */
struct upstream_notice {
  1: required string node,
  2: required i64 boot,
  3: required string service_name,
  4: required i32 state,
  5: required i64 version
}

/** One document of a space at a generation. */
struct space_document {
  1: required string path,
  2: required i64 generation,
  /** Text; absent for a document that was removed. */
  3: optional binary text
}

/** Newest generation of a space of documents. */
struct space_digest {
  /** `member/NAME` for declarations, `roster/SERVICE` for rosters. */
  1: required string space,
  2: required i64 generation
}

/** Asks for all documents of a space that are newer than `have`. */
struct space_pull {
  1: required string space,
  2: required i64 have
}

/** Documents of a space: the answer to a pull, or a change just accepted. */
struct space_push {
  1: required string space,
  2: required i64 generation,
  3: required string apply_id,
  4: required string actor,
  5: required list<space_document> documents,
  /** The documents are all that changed after this generation. */
  6: required i64 since
}

/** All spaces of the sender; the receiver pulls what it lacks. */
struct book_digest {
  1: required list<space_digest> spaces,
  2: required bool reply_wanted
}

/** A peer as known by gossip. */
struct peer_record {
  1: required string node,
  2: required i64 boot,
  3: required i32 incarnation,
  /** Life of the peer: 0 alive, 1 suspect, 2 dead, 3 left. */
  4: required i32 life,
  5: required string address,
  6: required i32 peer_port,
  7: required string zone,
  /** Service of the upstream beside it; empty without one. */
  8: required string service_name,
  /** State of that upstream, as numbered by its state chart. */
  9: required i32 upstream_state,
  /** Counts changes of the two fields above. */
  10: required i64 version
}

/** A request that ran on an upstream when it crashed. */
struct suspicion_record {
  1: required i64 fingerprint,
  /** Tells this crash from others. */
  2: required i64 crash_id,
  /** Time left, ms. */
  3: required i32 time_left_ms
}

/** Counts of one member on one node since the node started. */
struct board_row {
  1: required string member,
  2: required string service_name,
  3: required string kind,
  4: required i64 offered,
  5: required i64 completed_in_time,
  6: required i64 completed_late,
  7: required i64 not_run,
  8: required i64 unknown,
  9: required i64 retries,
  10: required i64 shed,
  11: required i64 upstream_runs,
  /** Runs for requests that another member owns. */
  12: required i64 runs_for_others,
  /** Time of those runs on the upstream, ms. */
  13: optional i64 lent_ms,
  /** Runs of this member's requests on upstreams of other members. */
  14: optional i64 runs_borrowed,
  /** Time of those runs on the upstream, ms. */
  15: optional i64 borrowed_ms
}

/** Ends of one kind in the windows of 5 min, 30 min, 1 h and 6 h. */
struct burn_row {
  1: required string service_name,
  2: required string kind,
  /** Whether these are calls at the upstream beside the node; otherwise
      whole requests that the node took from callers. */
  3: required bool at_upstream,
  /** Four lists of counts, each in the order of `request_end`. */
  4: required list<list<i64>> windows
}

/** One second of the requests of a member. */
struct load_second_record {
  /** Seconds since the Unix epoch. */
  1: required i64 second,
  2: required i64 ended,
  3: required i64 in_time,
  4: required i64 shed
}

/** What one node knows for a member's report. */
struct burn_part {
  1: required list<burn_row> rows,
  2: required list<load_second_record> seconds,
  /** Important requests completed in minutes in which lower ones were shed. */
  3: required i64 kept_while_shedding,
  /** Ends that were not counted because there were too many rows. */
  4: required i64 left_out
}

/** A decision on a recent request. */
struct decision_line {
  /** Milliseconds since the Unix epoch, by the clock of the node. */
  1: required i64 at_ms,
  /** Member that owns the request at its entry. */
  2: required string member,
  3: required string service_name,
  4: required string kind,
  /** Where it was taken: `entry`, `try`, `home` or `upstream`. */
  5: required string point,
  /** Outcome in its place: `completed`, `not_run` or `unknown`. */
  6: required string outcome,
  /** Reason of a refusal; empty without one. */
  7: required string reason,
  /** Node that a try was sent to; empty elsewhere. */
  8: required string peer
}

struct board_pull {
  1: required i64 request_id,
  /** Member whose ends are wanted too; absent for none. */
  2: optional string burn_member,
  /** Trace id whose decisions are wanted too; absent for none. */
  3: optional string trace_id
}

struct board_push {
  1: required i64 request_id,
  2: required string node,
  3: required i64 boot,
  4: required list<board_row> rows,
  5: required list<space_digest> in_force,
  /** Present if `burn_member` was asked for. */
  6: optional burn_part burn,
  7: optional string zone,
  /** Decisions on the trace that was asked for, oldest first. */
  8: optional list<decision_line> decisions
}

/** Asks a roster member to stop taking keys issued at or after `start_ms`. */
struct seal_request {
  1: required string service_name,
  2: required i64 epoch,
  3: required i64 start_ms
}

struct seal_answer {
  1: required string service_name,
  2: required i64 epoch,
  3: required i64 start_ms,
  /** Whether the promise was given. */
  4: required bool sealed,
  /** Latest issue time that was accepted so far, ms since the epoch. */
  5: required i64 latest_accepted_ms,
  /** The process that answers. */
  6: required string node,
  7: required i64 boot
}

/** Exactly one field is set. */
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
  ping = 1,
  ack = 2,
  /** Asks the receiver to ping `target` for the sender. */
  ping_request = 3,
  /** Carries news only; no answer is expected. */
  rumour = 4,
  /** Carries `bucket_hashes`; answered by records that differ. */
  sync = 5
}

struct gossip_datagram {
  1: required i32 protocol_version,
  2: required datagram_kind kind,
  3: required i64 sequence,
  /** The sender's own record. */
  4: required peer_record sender,
  /** For a ping: the node that is meant; for a ping request: the target. */
  5: required string target,
  6: required list<peer_record> updates,
  7: required list<space_digest> spaces,
  8: required list<suspicion_record> suspicions,
  /** Hash over the sender's table of peers. */
  9: required i64 table_hash,
  /** Hash over the sender's spaces and their generations. */
  10: required i64 book_hash,
  /** In a sync: hash of each bucket of the sender's table. */
  11: required list<i64> bucket_hashes,
  /** In a sync: whether the receiver is to send its own hashes back. */
  12: required bool reply_wanted
}
