// A list whose elements are there as long as their registrations.
#pragma once

#include <list>
#include <memory>
#include <utility>

namespace vanillaloft::entry {

template<typename T>
class Registry
{
private:
  // Shared with the coroutines, which may be destroyed after the registry at the end of
  // the process.
  using List = std::list<T>;
  using ListPtr = std::shared_ptr<List>;

public:
  // Keeps an element in the registry during its life.
  class Registration
  {
  public:
    Registration(Registry& aRegistry, T aElement)
      : mList(aRegistry.mList)
      , mPosition(mList->insert(mList->end(), std::move(aElement)))
    {
    }
    ~Registration() { mList->erase(mPosition); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

  private:
    ListPtr mList;
    typename List::iterator mPosition;
  };

  const List& All() const { return *mList; }

private:
  ListPtr mList = std::make_shared<List>();
};

} // namespace vanillaloft::entry
