mod bucket;
mod division;
