// Queries to all nodes.

#include "node_queries.hpp"

namespace pollenhall
{

std::int64_t node_queries::open(std::vector<peer_info> nodes,
                                milliseconds timeout, handler done)
{
    auto const id = next_++;
    query item;
    for (auto const& node : nodes)
    {
        if (!is_dead_or_left(node.life))
            item.unanswered.insert(node.node);
    }
    item.collected.nodes = std::move(nodes);
    item.done = std::move(done);
    item.timer = std::make_unique<asio::steady_timer>(context_, timeout);
    item.timer->async_wait(
        [this, id](asio::error_code error)
        {
            if (!error)
                finish(id);
        });
    queries_.emplace(id, std::move(item));
    return id;
}

void node_queries::on_answer(std::int64_t id, node_answer answer)
{
    auto const found = queries_.find(id);
    if (found == queries_.end())
        return;
    if (found->second.unanswered.erase(answer.node) == 0)
        return;
    found->second.collected.answers.push_back(std::move(answer));
    if (found->second.unanswered.empty())
        finish(id);
}

void node_queries::finish(std::int64_t id)
{
    auto node = queries_.extract(id);
    if (!node.empty())
        node.mapped().done(std::move(node.mapped().collected));
}

} // namespace pollenhall
