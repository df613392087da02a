#ifndef SISKINSTAGE_NODE_REQUESTS_ACCOUNT_SLOT_H
#define SISKINSTAGE_NODE_REQUESTS_ACCOUNT_SLOT_H

#include "node/requests/account_gate.h"

#include <utility>

namespace siskinstage {

/// A request's part of the concurrency limit of its account, released by the
/// destructor.
class AccountSlot {
public:
  AccountSlot(AccountGate &Gate, AccountName Account)
      : Gate(Gate), Account(std::move(Account)) {}
  ~AccountSlot() { this->Gate.release(this->Account); }
  AccountSlot(const AccountSlot &) = delete;
  AccountSlot &operator=(const AccountSlot &) = delete;

private:
  AccountGate &Gate;
  AccountName Account;
};

} // namespace siskinstage

#endif // SISKINSTAGE_NODE_REQUESTS_ACCOUNT_SLOT_H
