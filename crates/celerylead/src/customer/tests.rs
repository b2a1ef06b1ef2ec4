mod bucket;
mod buckets;
mod division;
mod fleet;
mod restarts;
