// Queries to all nodes: collects the answers that arrive before the timeout.
// Used on the control thread only.

#pragma once

#include <pollenhall/board.hpp>
#include <pollenhall/burn_history.hpp>
#include <pollenhall/decision_log.hpp>
#include <pollenhall/membership.hpp>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace pollenhall
{

/// Answer of one node.
struct node_answer
{
    node_id node;
    boot_id boot;
    zone_name zone;
    /// Request counts since the node started.
    board counts;
    /// Empty unless the query named a member.
    burn_summary burn;
    /// Decisions on the trace named in the query, oldest first.
    std::vector<decision_record> decisions;
    /// Newest generations of the documents in force on the node.
    std::vector<space_digest> spaces;
};

/// Result of a query.
struct query_result
{
    /// Answers that arrived before the timeout.
    std::vector<node_answer> answers;
    /// All known nodes, including dead and departed ones; this node is first.
    std::vector<peer_info> nodes;
};

/// The queries in progress. Not thread-safe.
class node_queries
{
public:
    using handler = std::function<void(query_result)>;

    explicit node_queries(asio::io_context& context) : context_(context) {}

    /// Opens a query to the live nodes among `nodes` and returns its id. The
    /// handler is called when all of them have answered or `timeout` has
    /// passed.
    std::int64_t open(std::vector<peer_info> nodes, milliseconds timeout,
                      handler done);
    /// Records an answer; late and repeated answers are dropped.
    void on_answer(std::int64_t query, node_answer answer);

private:
    struct query
    {
        query_result collected;
        std::set<node_id> unanswered;
        handler done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void finish(std::int64_t id);

    asio::io_context& context_;
    std::int64_t next_ = 1;
    std::map<std::int64_t, query> queries_;
};

} // namespace pollenhall
