mod ledger;
mod speed;
