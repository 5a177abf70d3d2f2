#include "oriolelever/records.h"

namespace oriolelever {

namespace {

// Lower bound as the timeout is divided among retries.
constexpr std::chrono::milliseconds minQueryTimeout{100};

} // namespace

void Records::handleInForceQuery(const std::string &body, const Streams::Reply &reply)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(query, decodeInForceQuery(body));
            collectInForce(query,
                           [reply](const InForceReport &report) { reply(encodeInForceReport(report)); });
            return {};
        },
        [&](const Error &error) { reply(error); });
}

void Records::queryInForce(const RecordKey &key, const RecordVersion &version,
                           std::function<void(InForceReport)> done)
{
    collectInForce({.key = key, .version = version}, std::move(done));
}

// Reports on this node and the agents assigned to it, and queries the other members of the range through
// delegates.
void Records::collectInForce(const InForceQuery &query, std::function<void(InForceReport)> done)
{
    refreshMembers();
    const auto aggregator = std::make_shared<InForceAggregator>(std::move(done));
    aggregator->expectReport();
    InForceReport own;
    countNode(own, m_options.name, isInForce(m_table, query.key, query.version));
    if (m_options.role == NodeRole::Balancer) {
        auto part = query;
        // Leaves time for the answer of this node.
        part.timeout = query.timeout * 3 / 4;
        for (auto &range : splitQueryRange(m_members, query, m_options.name)) {
            aggregator->expectReport();
            queryDelegate(part, std::move(range),
                          [aggregator](const InForceReport &report) { aggregator->add(report); });
        }
        queryAgents(part, aggregator);
    }
    aggregator->add(own);
}

// Queries the first member of `range` for the whole range. If it does not answer, it is reported as missing
// and the next member of the range is the delegate.
void Records::queryDelegate(const InForceQuery &query, std::vector<Member> range,
                            std::function<void(InForceReport)> done)
{
    const auto delegate = range.front();
    auto part = query;
    part.first = delegate.label;
    part.last = range.back().label;
    const auto timeout = std::max<std::chrono::milliseconds>(
        query.timeout / static_cast<int>(std::min<std::size_t>(range.size(), 2)), minQueryTimeout);
    part.timeout = timeout;
    m_streams->call(delegate.control, detail::inForcePath, encodeInForceQuery(part), timeout,
                    [this, alive = m_alive, query, delegate, range = std::move(range),
                     done = std::move(done)](Result<std::string> result) mutable {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(report, decodeInForceReport(text));
                                done(report);
                                return {};
                            },
                            [&](const Error &) {
                                range.erase(range.begin());
                                auto finish = [done, delegate](InForceReport report) {
                                    countNode(report, delegate.name, false);
                                    done(report);
                                };
                                if (range.empty()) {
                                    finish({});
                                } else {
                                    queryDelegate(query, std::move(range), finish);
                                }
                            });
                    });
}

void Records::queryAgents(const InForceQuery &query, const std::shared_ptr<InForceAggregator> &aggregator)
{
    const Record subject{.key = query.key, .version = query.version};
    for (const auto &entry : view().nodes) {
        const std::string &name = entry.first;
        const auto &announcement = entry.second.announcement;
        if (announcement.role != NodeRole::Agent || announcement.state == NodeState::Down) {
            continue;
        }
        const auto assigned = assignedMembers(m_members.size(), name, 1);
        const bool isAssigned = !assigned.empty() && m_members[assigned.front()].name == m_options.name;
        if (!isAssigned || !concernsService(view(), subject, announcement.service)) {
            continue;
        }
        aggregator->expectReport();
        m_streams->call(announcement.control, detail::inForcePath, encodeInForceQuery(query), query.timeout,
                        [aggregator, name](Result<std::string> result) {
                            const bool confirmed = handleError(
                                [&]() -> Result<bool> {
                                    BOOST_LEAF_AUTO(text, std::move(result));
                                    BOOST_LEAF_AUTO(report, decodeInForceReport(text));
                                    return report.confirmed == 1;
                                },
                                [](const Error &) { return false; });
                            InForceReport part;
                            countNode(part, name, confirmed);
                            aggregator->add(part);
                        });
    }
}

} // namespace oriolelever
