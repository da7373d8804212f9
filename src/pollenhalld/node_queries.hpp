// Questions to all nodes: who answers in time, and what they answered.
// Belongs to the control thread.

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

/// What one node answered.
struct node_answer
{
    node_id node;
    boot_id boot;
    zone_name zone;
    board counts;
    /// Empty if no member was asked for.
    burn_summary burn;
    /// Decisions on the trace that was asked for.
    std::vector<decision_record> decisions;
    std::vector<space_digest> spaces;
};

/// Answers of all nodes that were heard in time.
struct query_result
{
    std::vector<node_answer> answers;
    /// All known nodes, this one first.
    std::vector<peer_info> nodes;
};

/// Open questions.
class node_queries
{
public:
    using handler = std::function<void(query_result)>;

    explicit node_queries(asio::io_context& context) : context_(context) {}

    /// Opens a question to the live ones among `nodes`; the handler is called
    /// when all of them answered or `patience` is over.
    std::int64_t open(std::vector<peer_info> nodes, milliseconds patience,
                      handler done);
    /// Notes an answer; late and repeated ones are dropped.
    void on_answer(std::int64_t query, node_answer answer);

private:
    struct query
    {
        query_result collected;
        std::set<node_id> missing;
        handler done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void finish(std::int64_t id);

    asio::io_context& context_;
    std::int64_t next_ = 1;
    std::map<std::int64_t, query> queries_;
};

} // namespace pollenhall
