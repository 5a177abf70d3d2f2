#include "oriolelever/queue.h"

#include <algorithm>

namespace oriolelever {

namespace {

ClassQueue &classQueueOf(Queue &queue, Urgency urgency)
{
    return urgency == Urgency::Urgent ? queue.urgent : queue.ordinary;
}

void insert(ClassQueue &classQueue, const WaitingRequest &waiting)
{
    auto &callerRequests = classQueue.callers[waiting.caller];
    if (callerRequests.empty()) {
        classQueue.callerOrder.push_back(waiting.caller);
    }
    const auto place = std::upper_bound(callerRequests.begin(), callerRequests.end(), waiting,
                                        [](const auto &a, const auto &b) { return a.deadline < b.deadline; });
    callerRequests.insert(place, waiting);
    ++classQueue.size;
}

void removeCaller(ClassQueue &classQueue, std::uint64_t caller)
{
    classQueue.callers.erase(caller);
    std::erase(classQueue.callerOrder, caller);
}

// Takes the first request of the caller whose turn it is; that caller goes to the end of the order.
std::optional<WaitingRequest> popNext(ClassQueue &classQueue)
{
    if (classQueue.callerOrder.empty()) {
        return std::nullopt;
    }
    const auto caller = classQueue.callerOrder.front();
    auto &callerRequests = classQueue.callers[caller];
    const auto next = callerRequests.front();
    callerRequests.erase(callerRequests.begin());
    --classQueue.size;
    classQueue.callerOrder.pop_front();
    if (callerRequests.empty()) {
        classQueue.callers.erase(caller);
    } else {
        classQueue.callerOrder.push_back(caller);
    }
    return next;
}

// Removes and returns the requests that match; callers without requests lose their turn.
template<typename Predicate>
std::vector<WaitingRequest> removeIf(ClassQueue &classQueue, Predicate predicate)
{
    std::vector<WaitingRequest> extracted;
    std::vector<std::uint64_t> emptied;
    for (auto &[caller, callerRequests] : classQueue.callers) {
        const auto kept = std::stable_partition(callerRequests.begin(), callerRequests.end(),
                                                [&](const auto &waiting) { return !predicate(waiting); });
        extracted.insert(extracted.end(), kept, callerRequests.end());
        callerRequests.erase(kept, callerRequests.end());
        if (callerRequests.empty()) {
            emptied.push_back(caller);
        }
    }
    for (const auto caller : emptied) {
        removeCaller(classQueue, caller);
    }
    classQueue.size -= extracted.size();
    return extracted;
}

// Request with the latest deadline of all callers.
std::optional<WaitingRequest> latestDeadline(const ClassQueue &classQueue)
{
    std::optional<WaitingRequest> found;
    for (const auto &[caller, callerRequests] : classQueue.callers) {
        if (!found || callerRequests.back().deadline > found->deadline) {
            found = callerRequests.back();
        }
    }
    return found;
}

// Requests of one caller in both classes.
std::size_t waitingCount(const Queue &queue, std::uint64_t caller)
{
    std::size_t count = 0;
    for (const auto *classQueue : {&queue.urgent, &queue.ordinary}) {
        const auto entry = classQueue->callers.find(caller);
        count += entry == classQueue->callers.end() ? 0 : entry->second.size();
    }
    return count;
}

} // namespace

std::size_t size(const Queue &queue)
{
    return queue.urgent.size + queue.ordinary.size;
}

std::size_t requestsAhead(const Queue &queue, Urgency urgency)
{
    const auto interval = queue.options.ordinaryInterval;
    if (urgency == Urgency::Urgent) {
        return queue.urgent.size + std::min(queue.ordinary.size, queue.urgent.size / interval);
    }
    return size(queue);
}

PushResult push(Queue &queue, const WaitingRequest &waiting, std::optional<WaitingRequest> &evicted)
{
    if (waitingCount(queue, waiting.caller) >= queue.options.callerCapacity) {
        return PushResult::CallerFull;
    }
    if (size(queue) >= queue.options.capacity) {
        if (waiting.urgency == Urgency::Ordinary || queue.ordinary.size == 0) {
            return PushResult::Full;
        }
        evicted = latestDeadline(queue.ordinary);
        remove(queue, evicted->request);
    }
    insert(classQueueOf(queue, waiting.urgency), waiting);
    return PushResult::Queued;
}

std::optional<WaitingRequest> pop(Queue &queue)
{
    const bool ordinaryTurn
        = queue.ordinary.size > 0 && queue.consecutiveUrgent + 1 >= queue.options.ordinaryInterval;
    if (queue.urgent.size > 0 && !ordinaryTurn) {
        ++queue.consecutiveUrgent;
        return popNext(queue.urgent);
    }
    queue.consecutiveUrgent = 0;
    return popNext(queue.ordinary);
}

bool remove(Queue &queue, std::uint64_t request)
{
    const auto matches = [&](const WaitingRequest &waiting) {
        return waiting.request == request;
    };
    return !removeIf(queue.urgent, matches).empty() || !removeIf(queue.ordinary, matches).empty();
}

std::vector<WaitingRequest> removeDueBefore(Queue &queue, TimePoint limit)
{
    const auto isLate = [&](const WaitingRequest &waiting) {
        return waiting.deadline < limit;
    };
    auto late = removeIf(queue.urgent, isLate);
    const auto ordinary = removeIf(queue.ordinary, isLate);
    late.insert(late.end(), ordinary.begin(), ordinary.end());
    return late;
}

} // namespace oriolelever
