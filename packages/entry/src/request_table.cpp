#include "request_table.h"

namespace Carobhall
{

Request &RequestTable::add(CallerRequest call)
{
    auto request = std::make_unique<Request>();
    request->number = nextNumber_++;
    request->call = std::move(call);
    return *requests_.emplace(request->number, std::move(request)).first->second;
}

Request *RequestTable::find(std::uint64_t number)
{
    const auto entry = requests_.find(number);
    return entry == requests_.end() ? nullptr : entry->second.get();
}

void RequestTable::remove(std::uint64_t number)
{
    requests_.erase(number);
}

std::size_t RequestTable::size() const
{
    return requests_.size();
}

} // namespace Carobhall
