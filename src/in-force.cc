#include "oriolelever/records.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds shortestQuestion{100};

} // namespace

void Records::serveForce(const std::string &body, const Streams::Reply &reply)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(question, decodeForceQuestion(body));
            collectForce(question, [reply](const ForceReport &report) { reply(encodeForceReport(report)); });
            return {};
        },
        [&](const Error &error) { reply(error); });
}

void Records::inForce(const RecordKey &key, const RecordVersion &version,
                      std::function<void(ForceReport)> done)
{
    collectForce({.key = key, .version = version}, std::move(done));
}

// Answers for this node and its agents, and asks the other members of the range through delegates.
void Records::collectForce(const ForceQuestion &question, std::function<void(ForceReport)> done)
{
    refreshMembers();
    const auto gathering = std::make_shared<ForceGathering>(std::move(done));
    gathering->expect();
    ForceReport own;
    count(own, m_options.name, isInForce(m_table, question.key, question.version));
    if (m_options.role == NodeRole::Balancer) {
        auto part = question;
        part.timeout = question.timeout * 3 / 4;
        for (auto &range : splitForce(m_members, question, m_options.name)) {
            gathering->expect();
            askDelegate(part, std::move(range),
                        [gathering](const ForceReport &report) { gathering->add(report); });
        }
        askAgents(part, gathering);
    }
    gathering->add(own);
}

// A delegate that does not answer is missing, and the next member of the range takes its place.
void Records::askDelegate(const ForceQuestion &question, std::vector<Member> range,
                          std::function<void(ForceReport)> done)
{
    const auto delegate = range.front();
    auto part = question;
    part.first = delegate.label;
    part.last = range.back().label;
    const auto timeout = std::max<std::chrono::milliseconds>(
        question.timeout / static_cast<int>(std::min<std::size_t>(range.size(), 2)), shortestQuestion);
    part.timeout = timeout;
    m_streams->call(delegate.control, detail::forcePath, encodeForceQuestion(part), timeout,
                    [this, alive = m_alive, question, delegate, range = std::move(range),
                     done = std::move(done)](Result<std::string> result) mutable {
                        if (!*alive) {
                            return;
                        }
                        handleError(
                            [&]() -> Result<void> {
                                BOOST_LEAF_AUTO(text, std::move(result));
                                BOOST_LEAF_AUTO(report, decodeForceReport(text));
                                done(report);
                                return {};
                            },
                            [&](const Error &) {
                                range.erase(range.begin());
                                auto finish = [done, delegate](ForceReport report) {
                                    count(report, delegate.name, false);
                                    done(report);
                                };
                                if (range.empty()) {
                                    finish({});
                                } else {
                                    askDelegate(question, std::move(range), finish);
                                }
                            });
                    });
}

void Records::askAgents(const ForceQuestion &question, const std::shared_ptr<ForceGathering> &gathering)
{
    const Record asked{.key = question.key, .version = question.version};
    for (const auto &entry : view().nodes) {
        const std::string &name = entry.first;
        const auto &announcement = entry.second.announcement;
        if (announcement.role != NodeRole::Agent || announcement.state == NodeState::Down) {
            continue;
        }
        const auto assigned = assignedMembers(m_members.size(), name, 1);
        const bool mine = !assigned.empty() && m_members[assigned.front()].name == m_options.name;
        if (!mine || !concernsService(view(), asked, announcement.service)) {
            continue;
        }
        gathering->expect();
        m_streams->call(announcement.control, detail::forcePath, encodeForceQuestion(question),
                        question.timeout, [gathering, name](Result<std::string> result) {
                            const bool confirmed = handleError(
                                [&]() -> Result<bool> {
                                    BOOST_LEAF_AUTO(text, std::move(result));
                                    BOOST_LEAF_AUTO(report, decodeForceReport(text));
                                    return report.confirmed == 1;
                                },
                                [](const Error &) { return false; });
                            ForceReport part;
                            count(part, name, confirmed);
                            gathering->add(part);
                        });
    }
}

} // namespace oriolelever
