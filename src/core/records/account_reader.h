#ifndef SISKINSTAGE_CORE_RECORDS_ACCOUNT_READER_H
#define SISKINSTAGE_CORE_RECORDS_ACCOUNT_READER_H

#include "siskinstage/account_record.h"

#include <memory>
#include <string>
#include <vector>

namespace siskinstage {

class AccountDirectory;
class FieldReader;
struct RecordReading;

/// Reads the limits of an account that has a record of its own.
AccountRecord readAccount(FieldReader &Fields, const std::string &Name);

/// Reads the field "accounts" of a bundle, whose accounts have API keys. Faults
/// show no value of "key_digests", where a key may stand by mistake.
/// \returns null if it is missing, empty or has faults.
std::shared_ptr<const AccountDirectory> readAccounts(FieldReader &Fields,
                                                     RecordReading &Reading);

} // namespace siskinstage

#endif // SISKINSTAGE_CORE_RECORDS_ACCOUNT_READER_H
