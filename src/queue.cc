#include "oriolelever/queue.h"

#include <algorithm>

namespace oriolelever {

namespace {

Lane &laneOf(Queue &queue, Urgency urgency)
{
    return urgency == Urgency::Urgent ? queue.urgent : queue.ordinary;
}

void insert(Lane &lane, const Waiting &waiting)
{
    auto &waitings = lane.callers[waiting.caller];
    if (waitings.empty()) {
        lane.turns.push_back(waiting.caller);
    }
    const auto place = std::upper_bound(waitings.begin(), waitings.end(), waiting,
                                        [](const auto &a, const auto &b) { return a.deadline < b.deadline; });
    waitings.insert(place, waiting);
    ++lane.size;
}

void forgetCaller(Lane &lane, std::uint64_t caller)
{
    lane.callers.erase(caller);
    std::erase(lane.turns, caller);
}

std::optional<Waiting> take(Lane &lane)
{
    if (lane.turns.empty()) {
        return std::nullopt;
    }
    const auto caller = lane.turns.front();
    auto &waitings = lane.callers[caller];
    const auto next = waitings.front();
    waitings.erase(waitings.begin());
    --lane.size;
    lane.turns.pop_front();
    if (waitings.empty()) {
        lane.callers.erase(caller);
    } else {
        lane.turns.push_back(caller);
    }
    return next;
}

template<typename Predicate>
std::vector<Waiting> extract(Lane &lane, Predicate predicate)
{
    std::vector<Waiting> extracted;
    std::vector<std::uint64_t> emptied;
    for (auto &[caller, waitings] : lane.callers) {
        const auto kept = std::stable_partition(waitings.begin(), waitings.end(),
                                                [&](const auto &waiting) { return !predicate(waiting); });
        extracted.insert(extracted.end(), kept, waitings.end());
        waitings.erase(kept, waitings.end());
        if (waitings.empty()) {
            emptied.push_back(caller);
        }
    }
    for (const auto caller : emptied) {
        forgetCaller(lane, caller);
    }
    lane.size -= extracted.size();
    return extracted;
}

std::optional<Waiting> latest(const Lane &lane)
{
    std::optional<Waiting> found;
    for (const auto &[caller, waitings] : lane.callers) {
        if (!found || waitings.back().deadline > found->deadline) {
            found = waitings.back();
        }
    }
    return found;
}

std::size_t waitingOf(const Queue &queue, std::uint64_t caller)
{
    std::size_t count = 0;
    for (const auto *lane : {&queue.urgent, &queue.ordinary}) {
        const auto entry = lane->callers.find(caller);
        count += entry == lane->callers.end() ? 0 : entry->second.size();
    }
    return count;
}

} // namespace

std::size_t size(const Queue &queue)
{
    return queue.urgent.size + queue.ordinary.size;
}

std::size_t ahead(const Queue &queue, Urgency urgency)
{
    const auto share = queue.options.ordinaryShare;
    if (urgency == Urgency::Urgent) {
        return queue.urgent.size + std::min(queue.ordinary.size, queue.urgent.size / share);
    }
    return size(queue);
}

PushResult push(Queue &queue, const Waiting &waiting, std::optional<Waiting> &evicted)
{
    if (waitingOf(queue, waiting.caller) >= queue.options.callerCapacity) {
        return PushResult::CallerFull;
    }
    if (size(queue) >= queue.options.capacity) {
        if (waiting.urgency == Urgency::Ordinary || queue.ordinary.size == 0) {
            return PushResult::Full;
        }
        evicted = latest(queue.ordinary);
        remove(queue, evicted->request);
    }
    insert(laneOf(queue, waiting.urgency), waiting);
    return PushResult::Queued;
}

std::optional<Waiting> pop(Queue &queue)
{
    const bool ordinaryTurn = queue.ordinary.size > 0 && queue.urgentInRow + 1 >= queue.options.ordinaryShare;
    if (queue.urgent.size > 0 && !ordinaryTurn) {
        ++queue.urgentInRow;
        return take(queue.urgent);
    }
    queue.urgentInRow = 0;
    return take(queue.ordinary);
}

bool remove(Queue &queue, std::uint64_t request)
{
    const auto matches = [&](const Waiting &waiting) {
        return waiting.request == request;
    };
    return !extract(queue.urgent, matches).empty() || !extract(queue.ordinary, matches).empty();
}

std::vector<Waiting> removeLate(Queue &queue, TimePoint limit)
{
    const auto isLate = [&](const Waiting &waiting) {
        return waiting.deadline < limit;
    };
    auto late = extract(queue.urgent, isLate);
    const auto ordinary = extract(queue.ordinary, isLate);
    late.insert(late.end(), ordinary.begin(), ordinary.end());
    return late;
}

} // namespace oriolelever
